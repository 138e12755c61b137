#include "Apps/Gateway/SharedState.h"

#include <algorithm>

namespace quetzalyoke {

SharedState::SharedState(const MemberRow &self, const SyncLimits &limits) : m_sync(self, limits) { }

void SharedState::setConfiguration(std::shared_ptr<const Configuration> configuration, Instant now)
{
    const std::lock_guard lock(m_mutex);
    if (!m_configuration || m_configuration->version < configuration->version)
        m_configuration = std::move(configuration);
    publish(now);
}

std::shared_ptr<const Configuration> SharedState::configuration() const
{
    const std::lock_guard lock(m_mutex);
    return m_configuration;
}

std::optional<KeyRecord> SharedState::findKey(const KeyId &id) const
{
    const std::lock_guard lock(m_mutex);
    return m_sync.state().findKey(id);
}

std::vector<KeyRecord> SharedState::keys() const
{
    const std::lock_guard lock(m_mutex);
    return m_sync.state().keys();
}

Version SharedState::version() const
{
    const std::lock_guard lock(m_mutex);
    return m_sync.state().version();
}

std::vector<StateRow> SharedState::rowsAfter(Version version) const
{
    const std::lock_guard lock(m_mutex);
    return m_sync.state().rowsAfter(version);
}

ConfigurationPointer SharedState::newestConfiguration(Version &version) const
{
    const std::lock_guard lock(m_mutex);
    version = m_sync.state().configurationVersion();
    return m_sync.state().configuration();
}

// A configuration whose text is not here yet is known but not acted on.
PeerStatus SharedState::status(Instant now) const
{
    const std::lock_guard lock(m_mutex);
    PeerStatus status = m_sync.status(now);
    if (!isLoaded())
        status.inForce = m_sync.state().configurationVersion() - Version(1);
    return status;
}

bool SharedState::isFresh(Instant now) const
{
    const std::lock_guard lock(m_mutex);
    if (isLoaded())
        return m_sync.isFresh(now);
    return m_servingUntil && now <= *m_servingUntil;
}

bool SharedState::isLoaded() const
{
    const Version newest = m_sync.state().configurationVersion();
    return newest == Version() || (m_configuration && m_configuration->version >= newest);
}

// While a newer configuration is being loaded, the older one serves on what was known before.
void SharedState::noteFreshness(Instant now)
{
    if (isLoaded())
        m_servingUntil = m_sync.freshUntil(now);
}

void SharedState::publish(Instant now)
{
    noteFreshness(now);
    if (m_listener)
        m_listener({m_sync, m_configuration.get(), m_servingUntil, now});
}

} // namespace quetzalyoke
