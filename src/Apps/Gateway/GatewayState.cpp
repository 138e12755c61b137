#include "Apps/Gateway/GatewayState.h"

#include <algorithm>

namespace quetzalyoke {

GatewayState::GatewayState(const MemberRow &self, const ConsistencyTimeouts &limits)
    : m_cluster(self, limits)
{ }

void GatewayState::setConfiguration(std::shared_ptr<const Configuration> configuration, Instant now)
{
    const std::lock_guard lock(m_mutex);
    if (!m_configuration || m_configuration->version < configuration->version)
        m_configuration = std::move(configuration);
    notifyListener(now);
}

std::shared_ptr<const Configuration> GatewayState::configuration() const
{
    const std::lock_guard lock(m_mutex);
    return m_configuration;
}

std::optional<ApiKeyRow> GatewayState::findKey(const ApiKeyId &id) const
{
    const std::lock_guard lock(m_mutex);
    return m_cluster.state().findApiKey(id);
}

std::vector<ApiKeyRow> GatewayState::keys() const
{
    const std::lock_guard lock(m_mutex);
    return m_cluster.state().apiKeys();
}

Version GatewayState::version() const
{
    const std::lock_guard lock(m_mutex);
    return m_cluster.state().version();
}

std::vector<StateRow> GatewayState::rowsAfter(Version version) const
{
    const std::lock_guard lock(m_mutex);
    return m_cluster.state().rowsAfter(version);
}

ConfigurationRow GatewayState::newestConfigurationRow(Version &version) const
{
    const std::lock_guard lock(m_mutex);
    version = m_cluster.state().configurationVersion();
    return m_cluster.state().configurationRow();
}

// A configuration whose text is not loaded yet is known but not applied.
PeerStatus GatewayState::status(Instant now) const
{
    const std::lock_guard lock(m_mutex);
    PeerStatus status = m_cluster.status(now);
    if (!isNewestConfigurationLoaded())
        status.appliedVersion = m_cluster.state().configurationVersion() - Version(1);
    return status;
}

bool GatewayState::isFresh(Instant now) const
{
    const std::lock_guard lock(m_mutex);
    if (isNewestConfigurationLoaded())
        return m_cluster.isFresh(now);
    return m_freshUntil && now <= *m_freshUntil;
}

bool GatewayState::isNewestConfigurationLoaded() const
{
    const Version newest = m_cluster.state().configurationVersion();
    return newest == Version() || (m_configuration && m_configuration->version >= newest);
}

// While a newer configuration is being loaded, the older one stays fresh only as long as it was
// before.
void GatewayState::updateFreshUntil(Instant now)
{
    if (isNewestConfigurationLoaded())
        m_freshUntil = m_cluster.freshUntil(now);
}

void GatewayState::notifyListener(Instant now)
{
    updateFreshUntil(now);
    if (m_listener)
        m_listener({m_cluster, m_configuration.get(), m_freshUntil, now});
}

} // namespace quetzalyoke
