#ifndef QUETZALYOKE_SERVING_SERVERS_EVACUATEDZONES_H
#define QUETZALYOKE_SERVING_SERVERS_EVACUATEDZONES_H

#include "Core/StrongTypes.h"

#include <map>
#include <optional>
#include <vector>

namespace quetzalyoke {

/// \brief How an operators' row that evacuates a zone has changed.
enum class EvacuationChange {
    Begun, ///< The row is there.
    Revoked, ///< The operators have removed the row.
    Lost, ///< A restored store lacks the row.
};

/// \brief The availability zones to whose servers nothing may be sent; no I/O.
///
/// An evacuation whose row was lost with a restore of the store stays in force for some time, in
/// which the operators write it again.
class EvacuatedZones
{
public:
    /// Returns whether \a zone becomes evacuated or is no longer.
    bool apply(const ZoneName &zone, EvacuationChange change, Instant now);
    /// Ends evacuations whose rows were lost and not written again, and returns their zones.
    std::vector<ZoneName> removeExpired(Instant now);

    bool contains(const ZoneName &zone) const { return m_zones.count(zone) > 0; }
    std::size_t size() const { return m_zones.size(); }

private:
    std::map<ZoneName, std::optional<Instant>> m_zones; // with the time when the row was lost
};

} // namespace quetzalyoke

#endif
