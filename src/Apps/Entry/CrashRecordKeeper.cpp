#include "Apps/Entry/CrashRecordKeeper.h"

#include "Adapters/StructuredLog.h"

namespace quetzalyoke {

namespace {

// Between writes, and after a failed call.
constexpr Duration callInterval = std::chrono::milliseconds(500);

} // namespace

void CrashRecordKeeper::tick(bool holdsLease)
{
    // An earlier holder may have written since.
    if (holdsLease && !m_heldLease)
        m_isWritten = false;
    m_heldLease = holdsLease;
    const Instant now = steadyNow();
    if (m_isCallPending || now < m_nextCallAt)
        return;
    if (!m_isRead) {
        m_nextCallAt = now + callInterval;
        read();
        return;
    }
    const std::uint64_t digest = m_state.crashDetector.digest();
    const bool wasNeverUsed = digest == 0 && m_writtenDigest == 0;
    if (!holdsLease || wasNeverUsed || (m_isWritten && m_writtenDigest == digest))
        return;
    m_nextCallAt = now + callInterval;
    write();
}

void CrashRecordKeeper::read()
{
    m_isCallPending = true;
    m_state.platform.readCrashRecords([this](const auto &records) {
        m_isCallPending = false;
        if (!records)
            return;
        m_isRead = true;
        for (const CrashRecord &record : *records)
            m_state.crashDetector.addStoredRecord(record, steadyNow());
        if (!records->empty())
            logNotable("crash_records_read", {{"records", records->size()}});
    });
}

void CrashRecordKeeper::write()
{
    m_isCallPending = true;
    const auto records = m_state.crashDetector.refusedRecords();
    m_state.platform.writeCrashRecords(
        records, [this, digest = m_state.crashDetector.digest(), count = records.size()](bool ok) {
            m_isCallPending = false;
            if (ok) {
                m_isWritten = true;
                m_writtenDigest = digest;
            }
            logNotable("crash_records_written", {{"records", count}, {"ok", ok ? 1 : 0}});
        });
}

} // namespace quetzalyoke
