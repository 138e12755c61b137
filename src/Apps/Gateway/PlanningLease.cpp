#include "Apps/Gateway/PlanningLease.h"

namespace quetzalyoke {

namespace {

constexpr const char *leaseKey = "planning-lease";
constexpr int renewalsPerDuration = 3;

} // namespace

PlanningLease::PlanningLease(TableStore &table, InstanceId self, Duration duration)
    : m_table(table), m_self(std::move(self)), m_duration(duration)
{ }

// Clocks of different gateways are never compared. The lease has expired if this gateway has seen
// no change of the row for the lease's duration.
bool PlanningLease::acquireOrRenew(Instant now)
{
    const auto row = m_table.read(leaseKey);
    if (!row)
        return write(Version(0), now);
    if (row->version != m_seenVersion) {
        m_seenVersion = row->version;
        m_seenAt = now;
    }
    if (row->value == m_self.text()) {
        const bool due = now - m_writtenAt > m_duration / renewalsPerDuration;
        return !due || write(row->version, now);
    }
    return now - m_seenAt > m_duration && write(row->version, now);
}

bool PlanningLease::write(Version expected, Instant now)
{
    const auto version = m_table.commit({{leaseKey, m_self.text(), expected}});
    if (!version)
        return false;
    m_writtenAt = now;
    return true;
}

} // namespace quetzalyoke
