#ifndef QUETZALYOKE_APPS_ENTRY_LEASESTORECLIENT_H
#define QUETZALYOKE_APPS_ENTRY_LEASESTORECLIENT_H

#include "Adapters/Async/HttpClient.h"
#include "Adapters/Async/HttpServerConnection.h"
#include "Apps/Entry/EntryState.h"
#include "Apps/Entry/StateReplicator.h"

namespace quetzalyoke {

/// \brief The lease's row at the store, reached directly or through a peer.
///
/// A holder that is cut off from the store, but not from its peers, would otherwise lose the lease
/// and leave engines without orders until another gateway may take over.
class LeaseStoreClient
{
public:
    using PeersProvider = std::function<std::vector<StatePeer>()>;
    using WriteHook = std::function<void(EntryPlatform::WriteOutcome, Version)>;

    static constexpr const char *path = "/lease";

    LeaseStoreClient(EntryState &state, PeersProvider peers);

    void read(EntryPlatform::LeaseReadHook done);
    void write(const LeaseRow &row, WriteHook done);
    /// Reads (GET) or writes (POST) the row for a peer.
    void handleLeaseRequest(const HttpServerConnection::Pointer &session,
                            const HttpRequest &request);

private:
    /// The caller for the next call; nullptr: the store itself.
    HttpClient *selectPeerClient();
    void updateRoute(bool isAnswered);

    EntryState &m_state;
    PeersProvider m_peers;
    bool m_isViaPeer = false;
    std::unique_ptr<HttpClient> m_peerClient;
    std::vector<std::unique_ptr<HttpClient>> m_retired; // may be the one whose callback runs
};

} // namespace quetzalyoke

#endif
