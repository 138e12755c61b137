#ifndef QUETZALYOKE_SERVING_SERVERS_SERVICEVERSIONS_H
#define QUETZALYOKE_SERVING_SERVERS_SERVICEVERSIONS_H

#include "Serving/Servers/ServerDirectory.h"

namespace quetzalyoke {

/// \brief That servers of a service ran a software version.
struct VersionSighting
{
    ServiceName service;
    SoftwareVersion version; ///< Empty for servers whose entries have none that can be read.
    Duration age{0}; ///< Since the version was listed last.
};

/// \brief The software versions that the servers of each service run or have run lately; no I/O.
class ServiceVersions
{
public:
    /// How long a version counts after its last server has left: callers may still take up its
    /// streams.
    explicit ServiceVersions(Duration retention) : m_retention(retention) { }

    /// Takes the versions that are listed now. Returns whether they differ from the earlier ones.
    bool update(const ServerDirectory &servers, Instant now);
    /// Takes what another gateway, or an earlier incarnation, has seen.
    void add(const VersionSighting &sighting, Instant now);
    /// Returns whether more than one version may have begun a stream of \a service.
    bool hasSeveral(const ServiceName &service, Instant now) const;
    /// Returns whether this holds for any service.
    bool hasSeveral(Instant now) const;
    std::vector<VersionSighting> sightings(Instant now) const;

private:
    using LastSeen = std::map<SoftwareVersion, Instant>;

    bool hasSeveral(const LastSeen &versions, Instant now) const;

    const Duration m_retention;
    std::map<ServiceName, LastSeen> m_lastSeen;
    std::set<std::pair<ServiceName, SoftwareVersion>> m_listed;
};

} // namespace quetzalyoke

#endif
