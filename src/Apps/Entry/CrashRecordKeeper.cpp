#include "Apps/Entry/CrashRecordKeeper.h"

#include "Adapters/StructuredLog.h"

namespace quetzalyoke {

namespace {

// Between writes, and after a failed call.
constexpr Duration callInterval = std::chrono::milliseconds(500);

// Between writes that change nothing that is refused.
constexpr Duration unrefusedWriteInterval = std::chrono::seconds(1);

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
    if (!mustWrite(holdsLease, now))
        return;
    m_nextCallAt = now + callInterval;
    write();
}

bool CrashRecordKeeper::mustWrite(bool holdsLease, Instant now) const
{
    const CrashingRequestDetector &detector = m_state.crashDetector;
    if (detector.hasUnsavedReport())
        return true;
    const bool wasNeverUsed = detector.revision() == 0;
    if (!holdsLease || wasNeverUsed || (m_isWritten && m_writtenRevision == detector.revision()))
        return false;
    // Most requests that ran beside a crash are not refused; their records change often.
    return !m_isWritten || m_writtenDigest != detector.digest()
        || now - m_writtenAt >= unrefusedWriteInterval;
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
    const CrashingRequestDetector &detector = m_state.crashDetector;
    const auto records = detector.records();
    m_state.platform.writeCrashRecords(
        records,
        [this, revision = detector.revision(), digest = detector.digest(),
         count = records.size()](bool ok) {
            m_isCallPending = false;
            if (ok) {
                m_isWritten = true;
                m_writtenRevision = revision;
                m_writtenDigest = digest;
                m_writtenAt = steadyNow();
                if (revision == m_state.crashDetector.revision())
                    m_state.crashDetector.markReportsSaved();
            }
            logNotable("crash_records_written", {{"records", count}, {"ok", ok ? 1 : 0}});
        });
}

} // namespace quetzalyoke
