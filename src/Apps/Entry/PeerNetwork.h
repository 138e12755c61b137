#ifndef QUETZALYOKE_APPS_ENTRY_PEERNETWORK_H
#define QUETZALYOKE_APPS_ENTRY_PEERNETWORK_H

#include "Adapters/Async/PeerSocket.h"
#include "Apps/Entry/EntryState.h"
#include "Apps/Entry/SpendingExchange.h"
#include "Apps/Entry/StateReplicator.h"

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
        std::function<void(const LeaseRow &)> onHolderRenewal;
        std::function<bool()> followsStore; ///< \sa StateReplicator
        /// \sa PlacementLease::setTakeoverRank()
        std::function<void(std::size_t rank, Duration newsInterval)> onTakeoverRank;
    };

    PeerNetwork(EntryState &state, Hooks hooks);

    void start();
    /// Tells every peer that this gateway leaves.
    void announceLeaving();
    /// Requests wait for an adapter or a model: tells the lease's holder.
    void announceNeeds();
    /// Changes that orders of this gateway have brought: tells every peer.
    void announceLoadedModelChanges(const std::vector<LoadedModelChange> &notices);
    /// Servers have said that they leave: tells every peer.
    void announceLeavingServers();
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
        std::string httpAddress;
        StateVersions versions;
    };
    struct SentChange
    {
        LoadedModelChange change;
        Instant resendUntil;
    };

    void join();
    void addMember(const InstanceId &instance, const Address &address);
    void updateGatewayCount();
    void tick();
    void broadcastState();
    void sendSpending(const InstanceId &to, const wire::PeerSpending &spending);
    static GatewayCandidate candidate(const InstanceId &id, const Peer &peer);
    std::vector<GatewayCandidate> candidates() const;
    void sendUrgentMessage();
    void scheduleUrgentMessage();
    std::chrono::milliseconds messageInterval() const;
    Duration silenceTimeout() const;
    const Peer *holder() const;
    std::size_t takeoverRank() const;
    wire::PeerNews makeMessage(bool isUrgent);
    void addState(wire::PeerNews &news);
    static void addCrashSuspicions(const std::vector<Suspicion> &suspicions, wire::PeerNews &news);
    void sendCrashSuspicions(const InstanceId &instance, const Address &address);
    void addEvents(wire::PeerNews &news);
    void addLoadedModelChanges(wire::PeerNews &news) const;
    static void addLeavingServers(const std::vector<LeavingServer> &departures,
                                  wire::PeerNews &news);
    void addPauses(wire::PeerNews &news) const;
    void applyServerSignals(const InstanceId &from, const wire::PeerNews &news);
    void onPeerMessage(const wire::PeerNews &news, const Address &from);
    void applyState(const InstanceId &from, const wire::PeerNews &news);
    void applyEvents(const wire::PeerNews &news);

    EntryState &m_state;
    const Hooks m_hooks;
    PeerSocket m_socket;
    asio::steady_timer m_tick;
    asio::steady_timer m_joinTimer;
    asio::steady_timer m_urgentTimer;
    SpendingExchange m_spending;
    bool m_isUrgentScheduled = false;
    bool m_hasNewChanges = false;
    bool m_hasJoined = false;
    std::map<InstanceId, Peer> m_peers;
    InstanceId m_holder;
    std::int64_t m_sequence = 0;
    std::vector<SentChange> m_sentChanges;
};

} // namespace quetzalyoke

#endif
