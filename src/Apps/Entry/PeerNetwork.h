#ifndef QUETZALYOKE_APPS_ENTRY_PEERNETWORK_H
#define QUETZALYOKE_APPS_ENTRY_PEERNETWORK_H

#include "Adapters/Async/PeerSocket.h"
#include "Apps/Entry/EntryState.h"
#include "Apps/Entry/PermitExchange.h"
#include "Apps/Entry/SpendingExchange.h"
#include "Apps/Entry/StateReplicator.h"

namespace quetzalyoke {

/// \brief Tracks the other gateways and exchanges peer messages with them.
class PeerNetwork
{
public:
    struct Hooks
    {
        /// Returns the lease's row while this gateway holds the lease; otherwise nothing.
        std::function<std::optional<LeaseRow>()> heldLease;
        /// Called when a peer reports that it holds the lease.
        std::function<void(const LeaseRow &)> onHolderRenewal;
        /// Returns whether this gateway issues the permits for servers with a request limit.
        std::function<bool()> issuesPermits;
        std::function<bool()> followsStore; ///< \sa StateReplicator
        /// \sa PlacementLease::setTakeoverRank()
        std::function<void(std::size_t rank, Duration messageInterval)> onTakeoverRank;
    };

    PeerNetwork(EntryState &state, Hooks hooks);

    void start();
    /// Announces to every peer that this gateway is shutting down.
    void announceLeaving();
    /// Reports to the lease holder that requests wait for a model or an adapter.
    void announceNeeds();
    /// Announces to every peer the changes of loaded models that this gateway's orders have caused.
    void announceLoadedModelChanges(const std::vector<LoadedModelChange> &changes);
    /// Announces to every peer the servers that have reported that they leave, and those whose
    /// request limit has begun or ended.
    void announceServerSignals();
    /// Repeats requests for permits that had no response.
    void repeatPermitRequests() { m_permits.tick(); }
    /// Called after a stall or suspension of the instance.
    void onResumed();
    /// Called when the store has come back from a copy.
    void onStoreRestored();
    /// Returns the peers as sources of state for StateReplicator.
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
        Instant crashRecordsSentAt;
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
    void updatePeerSilence();
    void broadcastState();
    void sendSpending(const InstanceId &to, const wire::PeerSpending &spending);
    static GatewayCandidate candidateFor(const InstanceId &id, const Peer &peer);
    std::vector<GatewayCandidate> candidates() const;
    void sendUrgentMessage();
    void sendCrashNewsToHolder();
    void scheduleUrgentMessage();
    std::chrono::milliseconds messageInterval() const;
    Duration silenceTimeout() const;
    const Peer *leaseHolder() const;
    std::size_t takeoverRank() const;
    wire::PeerNews makeMessage(bool isUrgent);
    void addState(wire::PeerNews &message);
    static void addCrashNews(const std::vector<CrashNews> &news, wire::PeerNews &message);
    void sendCrashRecordsIfDifferent(Peer &peer, const wire::PeerNews &message);
    void addEvents(wire::PeerNews &message);
    void addLoadedModelChanges(wire::PeerNews &message) const;
    static void addLeavingServers(const std::vector<LeavingServer> &leavingServers,
                                  wire::PeerNews &message);
    void addPauses(wire::PeerNews &message) const;
    static void addRequestLimit(const ServerState &server, wire::PeerNews &message);
    PermitExchange::Hooks permitHooks();
    void applyServerSignals(const InstanceId &from, const wire::PeerNews &message);
    static bool isUsable(wire::PeerNews &message, const Address &from);
    void onPeerMessage(const wire::PeerNews &message, const Address &from);
    void applyState(const InstanceId &from, const wire::PeerNews &message);
    void applyEvents(const wire::PeerNews &message);
    bool isListConfirmedSince(Instant time) const;

    EntryState &m_state;
    const Hooks m_hooks;
    PeerSocket m_socket;
    asio::steady_timer m_tickTimer;
    asio::steady_timer m_joinTimer;
    asio::steady_timer m_urgentTimer;
    SpendingExchange m_spending;
    PermitExchange m_permits;
    bool m_isUrgentScheduled = false;
    bool m_hasNewChanges = false;
    bool m_hasJoined = false;
    std::map<InstanceId, Peer> m_peers;
    InstanceId m_leaseHolder;
    std::int64_t m_sequence = 0;
    std::vector<SentChange> m_sentChanges;
};

} // namespace quetzalyoke

#endif
