#ifndef QUETZALYOKE_APPS_ENTRY_CRASHRECORDKEEPER_H
#define QUETZALYOKE_APPS_ENTRY_CRASHRECORDKEEPER_H

#include "Apps/Entry/EntryState.h"

namespace quetzalyoke {

/// \brief Keeps the crash records in the store, for the case that all gateways restart.
///
/// Each gateway reads them once, when it starts. The lease holder writes them when they change. A
/// gateway that reports a crash with a refused suspect writes what it knows as well, since there
/// may be no holder; the holder gets its report and writes all records again.
class CrashRecordKeeper
{
public:
    explicit CrashRecordKeeper(EntryState &state) : m_state(state) { }

    void tick(bool holdsLease);
    /// Called when the store has come back from a copy.
    void onStoreRestored() { m_isWritten = false; }

private:
    bool mustWrite(bool holdsLease, Instant now) const;
    void read();
    void write();

    EntryState &m_state;
    bool m_isRead = false;
    bool m_isCallPending = false;
    bool m_heldLease = false;
    bool m_isWritten = false; // the store has the records of m_writtenRevision, from this holder
    std::uint64_t m_writtenRevision = 0;
    std::uint64_t m_writtenDigest = 0;
    Instant m_writtenAt;
    Instant m_nextCallAt;
};

} // namespace quetzalyoke

#endif
