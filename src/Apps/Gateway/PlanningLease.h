#ifndef QUETZALYOKE_APPS_GATEWAY_PLANNINGLEASE_H
#define QUETZALYOKE_APPS_GATEWAY_PLANNINGLEASE_H

#include "Core/StrongTypes.h"
#include "Ports/TableStore.h"

namespace quetzalyoke {

/// \brief Chooses the one gateway that plans, by a row that its holder keeps writing.
///
/// It only saves work: a plan is written on condition that nobody has changed it since it was
/// read, so two holders at once, or one that was paused, do no harm.
class PlanningLease
{
public:
    PlanningLease(TableStore &table, InstanceId self, Duration length);

    /// Takes or renews the lease where that is due; whether this gateway holds it. Throws Error.
    bool acquireOrRenew(Instant now);

private:
    bool write(Version expected, Instant now);

    TableStore &m_table;
    const InstanceId m_self;
    const Duration m_length;
    Version m_seenVersion; // of the row
    Instant m_seenAt;
    Instant m_writtenAt;
};

} // namespace quetzalyoke

#endif
