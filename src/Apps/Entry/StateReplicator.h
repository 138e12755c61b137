#ifndef QUETZALYOKE_APPS_ENTRY_STATEREPLICATOR_H
#define QUETZALYOKE_APPS_ENTRY_STATEREPLICATOR_H

#include "Ports/EntryPlatform.h"
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

/// \brief What a gateway asks another one for.
struct StateRequest
{
    StateVersions known;
    std::chrono::milliseconds wait{0}; ///< For a change; 0: a response at once.
};

/// \brief The response to a StateRequest.
struct StateResponse
{
    int status = 0; ///< Of HTTP; 0: none.
    StateTimes confirmedAt; ///< \sa EntryPlatform::confirmedAt
    std::string changes; ///< \sa EntryPlatform::changesSince
    std::string problem; ///< Reason if there is no response.
    bool timedOut = false; ///< Nor has the call ended otherwise.
};

/// \brief Replicates the configuration and the servers between gateways; no I/O.
///
/// One gateway of each zone reads the store; the others long-poll it for changes. Its responses
/// state until when its own state is complete, and it rejects polls while the store doesn't respond
/// to it. A gateway whose state is outdated reads the store itself, and one that the store refuses
/// to serve fetches the state from a peer.
class StateReplicator
{
public:
    using ResponseHook = std::function<void(const StateResponse &)>;

    struct Settings
    {
        InstanceId instance;
        ZoneName zone;
        double processorShare = 0;
    };
    struct Hooks
    {
        std::function<Instant()> now;
        std::function<double()> random; ///< From 0 to 1.
        std::function<std::vector<StatePeer>()> peers;
        /// Calls a peer. Polls and fetches use connections of their own.
        std::function<void(const StatePeer &peer, const StateRequest &request,
                           std::chrono::milliseconds timeout, ResponseHook done)>
            poll;
        std::function<void(const StatePeer &peer, const StateRequest &request,
                           std::chrono::milliseconds timeout, ResponseHook done)>
            fetch;
        /// Called when the state may be old until the store has been asked.
        std::function<void(Instant until)> onUncertain;
    };

    StateReplicator(const Settings &settings, EntryPlatform &platform, Hooks hooks);

    void tick();
    /// Returns whether this gateway reads the store and the store responds.
    bool followsStore() const;
    /// Called when the state here has changed; responds to the polls that wait for it.
    void onStateChanged() { answerPendingPolls(); }
    /// Called after a stall or suspension of the instance: its connections may be dead.
    void onResumed();
    /// Responds to a peer.
    void handleRequest(const StateRequest &request, ResponseHook respond);

private:
    struct PendingPoll
    {
        ResponseHook respond;
        StateVersions known;
        StateTimes confirmedAt; ///< Here, when the poll arrived.
        Instant receivedAt;
        Instant until;
    };

    void switchSource(const std::optional<InstanceId> &reader);
    void poll();
    void onPollResponse(const StateResponse &response);
    void rejectReader(const char *reason, const StateResponse &response);
    StateResponse currentState(const StateVersions &known) const;
    void answerPendingPolls();
    void updateHasFollowers();
    void fetchIfBehind();
    const StatePeer *choosePeerAhead(const std::vector<StatePeer> &peers,
                                     const StateVersions &newest);
    void fetch(const StatePeer &peer);
    bool hasNewerThan(const StateVersions &known) const;

    const Settings m_settings;
    EntryPlatform &m_platform;
    const Hooks m_hooks;
    StoreReaderElection m_election;
    VersionLagDetector m_lagDetector;
    std::optional<StatePeer> m_reader;
    std::uint64_t m_pollGeneration = 0; // responses to polls of an earlier reader are ignored
    bool m_reliesOnReader = false; // the reader's state is current, so the store isn't read here
    Instant m_polledAt; // when another gateway last waited for changes here
    std::vector<PendingPoll> m_pendingPolls;
    bool m_isFetching = false;
};

} // namespace quetzalyoke

#endif
