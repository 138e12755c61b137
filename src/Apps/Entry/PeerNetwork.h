#ifndef QUETZALYOKE_APPS_ENTRY_PEERNETWORK_H
#define QUETZALYOKE_APPS_ENTRY_PEERNETWORK_H

#include "Adapters/Async/HttpCaller.h"
#include "Adapters/Async/PeerSocket.h"
#include "Apps/Entry/EntryState.h"

namespace quetzalyoke {

/// \brief Other gateways: who they are, what they tell and what they are told.
class PeerNetwork
{
public:
    /// The lease's row while this gateway holds it, for the news.
    using HeldLease = std::function<std::optional<LeaseRow>()>;
    /// A peer says that it holds the lease.
    using HolderHook = std::function<void(const LeaseRow &)>;

    PeerNetwork(EntryState &state, HeldLease heldLease, HolderHook onHolder);

    void start();
    /// Tells every peer that this gateway leaves.
    void leave();
    /// Tells the peers what has changed, soon.
    void tellSoon();
    /// Changes that orders of this gateway have brought.
    void addNotices(const std::vector<OrderNotice> &notices);
    /// The instance has stood still.
    void onResumed();
    std::size_t peers() const { return m_peers.size(); }

private:
    struct Peer
    {
        Address address;
        Incarnation incarnation;
        std::int64_t sequence = 0;
        Instant heardAt;
        bool isHeard = false;
        bool isLeaving = false;
        std::string http;
        StateVersions versions;
    };

    void join();
    void addMember(const InstanceId &instance, const Address &address);
    void updateCount();
    void tick();
    void tell();
    wire::PeerNews makeNews();
    void onNews(const wire::PeerNews &news, const Address &from);
    void applyNews(const InstanceId &from, const wire::PeerNews &news);
    void fetchState(Instant now);

    EntryState &m_state;
    HeldLease m_heldLease;
    HolderHook m_onHolder;
    PeerSocket m_socket;
    asio::steady_timer m_tick;
    asio::steady_timer m_joinTimer;
    asio::steady_timer m_soon;
    bool m_isSoon = false;
    bool m_joined = false;
    std::map<InstanceId, Peer> m_peers;
    std::int64_t m_sequence = 0;
    struct SentNotice
    {
        OrderNotice notice;
        Instant until;
    };
    std::vector<SentNotice> m_notices;
    std::unique_ptr<HttpCaller> m_fetcher;
    std::vector<std::unique_ptr<HttpCaller>> m_oldFetchers;
    bool m_isFetching = false;
    Instant m_behindSince;
    bool m_isBehind = false;
};

} // namespace quetzalyoke

#endif
