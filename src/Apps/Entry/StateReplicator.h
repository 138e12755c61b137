#ifndef QUETZALYOKE_APPS_ENTRY_STATEREPLICATOR_H
#define QUETZALYOKE_APPS_ENTRY_STATEREPLICATOR_H

#include "Adapters/Async/HttpClient.h"
#include "Adapters/Async/HttpServerConnection.h"
#include "Apps/Entry/EntryState.h"
#include "Serving/State/StoreReaderElection.h"
#include "Serving/State/VersionLagDetector.h"

namespace quetzalyoke {

/// \brief A peer as a source of configuration and servers.
struct StatePeer
{
    GatewayCandidate candidate;
    std::string httpAddress; ///< IP:PORT
    StateVersions versions;
};

/// \brief Replicates the configuration and the servers between gateways.
///
/// One gateway of each zone reads the store; the others long-poll it for changes. A gateway that
/// the store refuses to serve fetches the state from a peer.
class StateReplicator
{
public:
    using PeersProvider = std::function<std::vector<StatePeer>()>;

    StateReplicator(EntryState &state, PeersProvider peers);

    void tick();
    /// Returns whether this gateway reads the store and the store responds.
    bool followsStore() const;
    /// Called when the state here has changed; responds to the polls that wait for it.
    void onStateChanged();
    /// Called after a stall or suspension of the instance: its connections may be dead.
    void onResumed();
    /// Responds to a peer; \a target is
    /// /state?config=VERSION&config_digest=DIGEST&servers=VERSION&servers_digest=DIGEST
    /// &in_force=VERSION&wait_ms=MILLISECONDS.
    void handleStateRequest(const HttpServerConnection::Pointer &connection,
                            const std::string &target);

private:
    struct PendingPoll
    {
        HttpServerConnection::Pointer connection;
        StateVersions known;
        Instant until;
    };

    void switchSource(const std::optional<InstanceId> &reader, const std::vector<StatePeer> &peers);
    void poll();
    void onPollResponse(const HttpCallResult &result);
    void fetchIfBehind(const std::vector<StatePeer> &peers, Instant now);
    const StatePeer *choosePeerAhead(const std::vector<StatePeer> &peers,
                                     const StateVersions &newest);
    void fetch(const StatePeer &peer);
    std::string stateRequestText(const std::string &host, std::chrono::milliseconds wait) const;
    bool hasNewerThan(const StateVersions &known) const;

    EntryState &m_state;
    PeersProvider m_peers;
    StoreReaderElection m_election;
    VersionLagDetector m_lagDetector;
    std::optional<InstanceId> m_reader;
    std::unique_ptr<HttpClient> m_pollClient;
    std::unique_ptr<HttpClient> m_fetchClient;
    std::vector<std::unique_ptr<HttpClient>>
        m_retiredClients; // one of them may be running its callback
    std::vector<PendingPoll> m_pendingPolls;
    bool m_isFetching = false;
};

} // namespace quetzalyoke

#endif
