#ifndef QUETZALYOKE_APPS_ENTRY_LEASERELAY_H
#define QUETZALYOKE_APPS_ENTRY_LEASERELAY_H

#include "Adapters/Async/CallerSession.h"
#include "Adapters/Async/HttpCaller.h"
#include "Apps/Entry/EntryState.h"
#include "Apps/Entry/StateExchange.h"

namespace quetzalyoke {

/// \brief The lease's row at the store, reached directly or through a peer.
///
/// A holder that is cut off from the store, but not from its peers, would otherwise lose the lease
/// and leave engines without orders until another gateway may take over.
class LeaseRelay
{
public:
    using Peers = std::function<std::vector<StatePeer>()>;
    using WriteDone = std::function<void(EntryPlatform::WriteOutcome, Version)>;

    static constexpr const char *path = "/lease";

    LeaseRelay(EntryState &state, Peers peers);

    void read(EntryPlatform::LeaseRead done);
    void write(const LeaseRow &row, WriteDone done);
    /// Reads (GET) or writes (POST) the row for a peer.
    void answer(const CallerSession::Pointer &session, const CallerRequest &request);

private:
    /// The caller for the next call; nullptr: the store itself.
    HttpCaller *route();
    void noteOutcome(bool isAnswered);

    EntryState &m_state;
    Peers m_peers;
    bool m_isViaPeer = false;
    std::unique_ptr<HttpCaller> m_caller;
    std::vector<std::unique_ptr<HttpCaller>> m_retired; // may be the one whose callback runs
};

} // namespace quetzalyoke

#endif
