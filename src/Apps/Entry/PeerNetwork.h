#ifndef QUETZALYOKE_APPS_ENTRY_PEERNETWORK_H
#define QUETZALYOKE_APPS_ENTRY_PEERNETWORK_H

#include "Adapters/Async/PeerSocket.h"
#include "Apps/Entry/EntryState.h"
#include "Apps/Entry/SpendingNews.h"
#include "Apps/Entry/StateExchange.h"

namespace quetzalyoke {

/// \brief Other gateways: who they are, what they tell and what they are told.
class PeerNetwork
{
public:
    struct Hooks
    {
        /// The lease's row while this gateway holds it.
        std::function<std::optional<LeaseRow>()> heldLease;
        /// A peer says that it holds the lease.
        std::function<void(const LeaseRow &)> onHolder;
        std::function<bool()> followsStore; ///< \sa StateExchange
        /// \sa PlacementLease::setWatch()
        std::function<void(std::size_t rank, Duration newsInterval)> onRank;
    };

    PeerNetwork(EntryState &state, Hooks hooks);

    void start();
    /// Tells every peer that this gateway leaves.
    void leave();
    /// Requests wait for an adapter or a model: tells the lease's holder.
    void tellNeeds();
    /// Changes that orders of this gateway have brought: tells every peer.
    void tellNotices(const std::vector<OrderNotice> &notices);
    /// Servers have said that they leave: tells every peer.
    void tellDepartures();
    /// The instance has stood still.
    void onResumed();
    /// Peers as sources of state.
    std::vector<StatePeer> statePeers() const;

private:
    struct Peer
    {
        Address address;
        Incarnation incarnation;
        std::int64_t sequence = 0;
        Instant heardAt;
        bool isHeard = false;
        bool isLeaving = false;
        bool followsStore = false;
        double processorShare = 0;
        ZoneName zone;
        std::string http;
        StateVersions versions;
    };
    struct SentNotice
    {
        OrderNotice notice;
        Instant until;
    };

    void join();
    void addMember(const InstanceId &instance, const Address &address);
    void updateCount();
    void tick();
    void tellAll();
    void sendSpending(const InstanceId &to, const wire::PeerSpending &spending);
    static ReaderCandidate candidate(const InstanceId &id, const Peer &peer);
    std::vector<ReaderCandidate> candidates() const;
    void tellUrgent();
    void scheduleUrgent();
    std::chrono::milliseconds interval() const;
    Duration silence() const;
    const Peer *holder() const;
    std::size_t rank() const;
    wire::PeerNews makeHead(bool isUrgent);
    void addFacts(wire::PeerNews &news);
    static void addCrashes(const std::vector<Suspicion> &suspicions, wire::PeerNews &news);
    void tellCrashes(const InstanceId &instance, const Address &address);
    void addEvents(wire::PeerNews &news);
    void addNotices(wire::PeerNews &news) const;
    static void addDepartures(const std::vector<Departure> &departures, wire::PeerNews &news);
    void addPauses(wire::PeerNews &news) const;
    void applyServerSignals(const InstanceId &from, const wire::PeerNews &news);
    void onNews(const wire::PeerNews &news, const Address &from);
    void applyFacts(const InstanceId &from, const wire::PeerNews &news);
    void applyEvents(const wire::PeerNews &news);

    EntryState &m_state;
    const Hooks m_hooks;
    PeerSocket m_socket;
    asio::steady_timer m_tick;
    asio::steady_timer m_joinTimer;
    asio::steady_timer m_urgentTimer;
    SpendingNews m_spending;
    bool m_isUrgentScheduled = false;
    bool m_hasNewNotices = false;
    bool m_hasJoined = false;
    std::map<InstanceId, Peer> m_peers;
    InstanceId m_holder;
    std::int64_t m_sequence = 0;
    std::vector<SentNotice> m_notices;
};

} // namespace quetzalyoke

#endif
