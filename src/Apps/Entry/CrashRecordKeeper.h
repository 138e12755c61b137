#ifndef QUETZALYOKE_APPS_ENTRY_CRASHRECORDKEEPER_H
#define QUETZALYOKE_APPS_ENTRY_CRASHRECORDKEEPER_H

#include "Apps/Entry/EntryState.h"

namespace quetzalyoke {

/// \brief Keeps the crash records of refused suspects in the store, for the case that all gateways
/// restart.
///
/// Each gateway reads them once, when it starts. The lease holder writes them when they change.
class CrashRecordKeeper
{
public:
    explicit CrashRecordKeeper(EntryState &state) : m_state(state) { }

    void tick(bool holdsLease);
    /// Called when the store has come back from a copy.
    void onStoreRestored() { m_isWritten = false; }

private:
    void read();
    void write();

    EntryState &m_state;
    bool m_isRead = false;
    bool m_isCallPending = false;
    bool m_heldLease = false;
    bool m_isWritten = false; // the store has the records with m_writtenDigest, from this holder
    std::uint64_t m_writtenDigest = 0;
    Instant m_nextCallAt;
};

} // namespace quetzalyoke

#endif
