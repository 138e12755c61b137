#ifndef QUETZALYOKE_APPS_ENTRY_STATEEXCHANGE_H
#define QUETZALYOKE_APPS_ENTRY_STATEEXCHANGE_H

#include "Adapters/Async/HttpClient.h"
#include "Adapters/Async/HttpServerConnection.h"
#include "Apps/Entry/EntryState.h"
#include "Apps/Entry/StateReplicator.h"

namespace quetzalyoke {

/// \brief Carries the requests and responses of StateReplicator over HTTP.
class StateExchange
{
public:
    using PeersProvider = std::function<std::vector<StatePeer>()>;

    StateExchange(EntryState &state, PeersProvider peers);

    StateReplicator &replicator() { return m_replicator; }
    /// Responds to a peer; \a target is
    /// /state?config=VERSION&config_digest=DIGEST&servers=VERSION&servers_digest=DIGEST
    /// &in_force=VERSION&wait_ms=MILLISECONDS.
    void handleRequest(const HttpServerConnection::Pointer &connection, const std::string &target);

private:
    StateReplicator::Hooks hooks(PeersProvider peers);
    void call(std::unique_ptr<HttpClient> &client, const StatePeer &peer,
              const StateRequest &request, std::chrono::milliseconds timeout,
              StateReplicator::ResponseHook done);

    EntryState &m_state;
    std::unique_ptr<HttpClient> m_pollClient;
    std::unique_ptr<HttpClient> m_fetchClient;
    StateReplicator m_replicator;
};

} // namespace quetzalyoke

#endif
