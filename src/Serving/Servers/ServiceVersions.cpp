#include "Serving/Servers/ServiceVersions.h"

#include <algorithm>

namespace quetzalyoke {

bool ServiceVersions::update(const ServerDirectory &servers, Instant now)
{
    std::set<std::pair<ServiceName, SoftwareVersion>> listed;
    for (const auto &[id, server] : servers.servers())
        listed.emplace(server.listed.service, server.listed.softwareVersion);
    for (const auto &[service, version] : listed)
        m_lastSeen[service][version] = now;
    for (auto &[service, versions] : m_lastSeen)
        std::erase_if(versions, [&](const auto &it) { return now - it.second >= m_retention; });
    std::erase_if(m_lastSeen, [](const auto &it) { return it.second.empty(); });
    const bool isChanged = listed != m_listed;
    m_listed = std::move(listed);
    return isChanged;
}

void ServiceVersions::add(const VersionSighting &sighting, Instant now)
{
    Instant &lastSeen = m_lastSeen[sighting.service][sighting.version];
    lastSeen = std::max(lastSeen, now - std::max(Duration(0), sighting.age));
}

bool ServiceVersions::hasSeveral(const LastSeen &versions, Instant now) const
{
    return std::count_if(versions.begin(), versions.end(),
                         [&](const auto &it) { return now - it.second < m_retention; })
        > 1;
}

bool ServiceVersions::hasSeveral(const ServiceName &service, Instant now) const
{
    const auto it = m_lastSeen.find(service);
    return it != m_lastSeen.end() && hasSeveral(it->second, now);
}

bool ServiceVersions::hasSeveral(Instant now) const
{
    return std::any_of(m_lastSeen.begin(), m_lastSeen.end(),
                       [&](const auto &it) { return hasSeveral(it.second, now); });
}

std::vector<VersionSighting> ServiceVersions::sightings(Instant now) const
{
    std::vector<VersionSighting> sightings;
    for (const auto &[service, versions] : m_lastSeen) {
        for (const auto &[version, lastSeen] : versions)
            sightings.push_back({service, version, now - lastSeen});
    }
    return sightings;
}

} // namespace quetzalyoke
