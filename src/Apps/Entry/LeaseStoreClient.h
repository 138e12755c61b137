#ifndef QUETZALYOKE_APPS_ENTRY_LEASESTORECLIENT_H
#define QUETZALYOKE_APPS_ENTRY_LEASESTORECLIENT_H

#include "Adapters/Async/HttpClient.h"
#include "Adapters/Async/HttpServerConnection.h"
#include "Apps/Entry/EntryState.h"
#include "Apps/Entry/StateReplicator.h"

namespace quetzalyoke {

/// \brief Reads and writes the lease's row in the store, directly or through a peer.
///
/// Without the way through a peer, a lease holder that can reach its peers but not the store
/// would lose the lease, and engines would get no orders until another gateway may take over.
class LeaseStoreClient
{
public:
    using PeersProvider = std::function<std::vector<StatePeer>()>;
    using WriteHook = std::function<void(EntryPlatform::WriteOutcome, Version)>;

    static constexpr const char *path = "/lease";

    LeaseStoreClient(EntryState &state, PeersProvider peers);

    void read(EntryPlatform::LeaseReadHook done);
    void write(const LeaseRow &row, WriteHook done);
    /// Reads (GET) or writes (POST) the row on behalf of a peer.
    void handleLeaseRequest(const HttpServerConnection::Pointer &connection,
                            const HttpRequest &request);

private:
    /// Returns the client of the peer to use for the next call; nullptr: call the store itself.
    HttpClient *selectPeerClient();
    void updateRoute(bool isSuccess);

    EntryState &m_state;
    PeersProvider m_peers;
    bool m_isViaPeer = false;
    std::unique_ptr<HttpClient> m_peerClient;
    std::vector<std::unique_ptr<HttpClient>>
        m_retiredClients; // one of them may be running its callback
};

} // namespace quetzalyoke

#endif
