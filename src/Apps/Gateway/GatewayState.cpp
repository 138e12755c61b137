#include "Apps/Gateway/GatewayState.h"

#include <algorithm>

namespace quetzalyoke {

GatewayState::GatewayState(const MemberRow &self, const ConsistencyTimeouts &limits)
    : m_sync(self, limits)
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
    return m_sync.state().findApiKey(id);
}

std::vector<ApiKeyRow> GatewayState::keys() const
{
    const std::lock_guard lock(m_mutex);
    return m_sync.state().apiKeys();
}

Version GatewayState::version() const
{
    const std::lock_guard lock(m_mutex);
    return m_sync.state().version();
}

std::vector<StateRow> GatewayState::rowsAfter(Version version) const
{
    const std::lock_guard lock(m_mutex);
    return m_sync.state().rowsAfter(version);
}

ConfigurationRow GatewayState::newestConfigurationRow(Version &version) const
{
    const std::lock_guard lock(m_mutex);
    version = m_sync.state().configurationVersion();
    return m_sync.state().configurationRow();
}

// A configuration whose text is not here yet is known but not acted on.
PeerStatus GatewayState::status(Instant now) const
{
    const std::lock_guard lock(m_mutex);
    PeerStatus status = m_sync.status(now);
    if (!isNewestConfigurationLoaded())
        status.appliedVersion = m_sync.state().configurationVersion() - Version(1);
    return status;
}

bool GatewayState::isFresh(Instant now) const
{
    const std::lock_guard lock(m_mutex);
    if (isNewestConfigurationLoaded())
        return m_sync.isFresh(now);
    return m_freshUntil && now <= *m_freshUntil;
}

bool GatewayState::isNewestConfigurationLoaded() const
{
    const Version newest = m_sync.state().configurationVersion();
    return newest == Version() || (m_configuration && m_configuration->version >= newest);
}

// While a newer configuration is being loaded, the older one serves on what was known before.
void GatewayState::updateFreshUntil(Instant now)
{
    if (isNewestConfigurationLoaded())
        m_freshUntil = m_sync.freshUntil(now);
}

void GatewayState::notifyListener(Instant now)
{
    updateFreshUntil(now);
    if (m_listener)
        m_listener({m_sync, m_configuration.get(), m_freshUntil, now});
}

} // namespace quetzalyoke
