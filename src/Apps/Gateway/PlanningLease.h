#ifndef QUETZALYOKE_APPS_GATEWAY_PLANNINGLEASE_H
#define QUETZALYOKE_APPS_GATEWAY_PLANNINGLEASE_H

#include "Core/StrongTypes.h"
#include "Ports/TableStore.h"

namespace quetzalyoke {

/// \brief Elects the gateway that plans by means of a table row that the lease holder keeps
/// rewriting.
///
/// The lease only saves work. A plan is written on the condition that it has not changed since it
/// was read, so two holders at once, or a holder that was paused, do no harm.
class PlanningLease
{
public:
    PlanningLease(TableStore &table, InstanceId self, Duration duration);

    /// Acquires the lease, or renews it if that is due; returns whether this gateway holds it.
    /// Throws Error.
    bool acquireOrRenew(Instant now);

private:
    bool write(Version expected, Instant now);

    TableStore &m_table;
    const InstanceId m_self;
    const Duration m_duration;
    Version m_seenVersion; // last version of the row that was read
    Instant m_seenAt;
    Instant m_writtenAt;
};

} // namespace quetzalyoke

#endif
