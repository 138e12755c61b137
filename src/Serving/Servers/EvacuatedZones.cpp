#include "Serving/Servers/EvacuatedZones.h"

namespace quetzalyoke {

namespace {

// The operators write what a restored store lacks within seconds. Keeping an evacuation for too
// long only costs capacity.
constexpr Duration lostRowRetention = std::chrono::seconds(30);

} // namespace

bool EvacuatedZones::apply(const ZoneName &zone, EvacuationChange change, Instant now)
{
    switch (change) {
    case EvacuationChange::Begun: {
        const auto [it, isNew] = m_zones.try_emplace(zone);
        it->second.reset();
        return isNew;
    }
    case EvacuationChange::Revoked:
        return m_zones.erase(zone) > 0;
    case EvacuationChange::Lost:
        if (const auto it = m_zones.find(zone); it != m_zones.end() && !it->second)
            it->second = now;
        return false;
    }
    return false;
}

std::vector<ZoneName> EvacuatedZones::removeExpired(Instant now)
{
    std::vector<ZoneName> expired;
    for (const auto &[zone, lostAt] : m_zones) {
        if (lostAt && now - *lostAt >= lostRowRetention)
            expired.push_back(zone);
    }
    for (const ZoneName &zone : expired)
        m_zones.erase(zone);
    return expired;
}

} // namespace quetzalyoke
