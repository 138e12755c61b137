#ifndef QUETZALYOKE_APPS_ENTRY_STATEEXCHANGE_H
#define QUETZALYOKE_APPS_ENTRY_STATEEXCHANGE_H

#include "Adapters/Async/CallerSession.h"
#include "Adapters/Async/HttpCaller.h"
#include "Apps/Entry/EntryState.h"
#include "Serving/State/ReaderElection.h"
#include "Serving/State/VersionWatch.h"

namespace quetzalyoke {

/// \brief Another gateway as a source of configuration and servers.
struct StatePeer
{
    ReaderCandidate candidate;
    std::string http; ///< IP:PORT
    StateVersions versions;
};

/// \brief Configuration and servers between gateways.
///
/// One gateway of a zone follows the store; the others wait for its changes. A gateway that the
/// store turns away takes what a peer knows.
class StateExchange
{
public:
    using Peers = std::function<std::vector<StatePeer>()>;

    StateExchange(EntryState &state, Peers peers);

    void tick();
    /// Whether this gateway follows the store, and the store answers.
    bool followsStore() const;
    /// Something has changed here: answers those who wait for it.
    void onChanged();
    /// The instance has stood still: connections may have gone silent.
    void onResumed();
    /// Answers a gateway; \a target is /state?config=ROW&servers=ROW&wait_ms=MILLISECONDS.
    void answer(const CallerSession::Pointer &session, const std::string &target);

private:
    struct Held
    {
        CallerSession::Pointer session;
        StateVersions known;
        Instant until;
    };

    void follow(const std::optional<InstanceId> &reader, const std::vector<StatePeer> &peers);
    void poll();
    void onPolled(const HttpOutcome &outcome);
    void fetchIfBehind(const std::vector<StatePeer> &peers, Instant now);
    const StatePeer *chooseAhead(const std::vector<StatePeer> &peers, const StateVersions &newest);
    void fetch(const StatePeer &peer);
    std::string request(const std::string &host, std::chrono::milliseconds wait) const;
    bool isNewer(const StateVersions &known) const;

    EntryState &m_state;
    Peers m_peers;
    ReaderElection m_election;
    VersionWatch m_watch;
    std::optional<InstanceId> m_reader;
    std::unique_ptr<HttpCaller> m_pollCaller;
    std::unique_ptr<HttpCaller> m_fetchCaller;
    std::vector<std::unique_ptr<HttpCaller>> m_retired; // may be the one whose callback runs
    std::vector<Held> m_held;
    bool m_isFetching = false;
};

} // namespace quetzalyoke

#endif
