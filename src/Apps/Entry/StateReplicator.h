#ifndef QUETZALYOKE_APPS_ENTRY_STATEREPLICATOR_H
#define QUETZALYOKE_APPS_ENTRY_STATEREPLICATOR_H

#include "Adapters/Async/HttpClient.h"
#include "Adapters/Async/HttpServerConnection.h"
#include "Apps/Entry/EntryState.h"
#include "Serving/State/StoreReaderElection.h"
#include "Serving/State/VersionLagDetector.h"

namespace quetzalyoke {

/// \brief Another gateway as a source of configuration and servers.
struct StatePeer
{
    GatewayCandidate candidate;
    std::string httpAddress; ///< IP:PORT
    StateVersions versions;
};

/// \brief Configuration and servers between gateways.
///
/// One gateway of a zone follows the store; the others wait for its changes. A gateway that the
/// store turns away takes what a peer knows.
class StateReplicator
{
public:
    using PeersProvider = std::function<std::vector<StatePeer>()>;

    StateReplicator(EntryState &state, PeersProvider peers);

    void tick();
    /// Whether this gateway follows the store, and the store answers.
    bool followsStore() const;
    /// Something has changed here: answers those who wait for it.
    void onStateChanged();
    /// The instance has stood still: connections may have gone silent.
    void onResumed();
    /// Answers a gateway; \a target is /state?config=ROW&servers=ROW&wait_ms=MILLISECONDS.
    void handleStateRequest(const HttpServerConnection::Pointer &session,
                            const std::string &target);

private:
    struct PendingPoll
    {
        HttpServerConnection::Pointer session;
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
    VersionLagDetector m_watch;
    std::optional<InstanceId> m_reader;
    std::unique_ptr<HttpClient> m_pollClient;
    std::unique_ptr<HttpClient> m_fetchClient;
    std::vector<std::unique_ptr<HttpClient>> m_retired; // may be the one whose callback runs
    std::vector<PendingPoll> m_pendingPolls;
    bool m_isFetching = false;
};

} // namespace quetzalyoke

#endif
