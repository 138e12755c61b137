#include "Apps/Gateway/SharedState.h"

#include <algorithm>

namespace quetzalyoke {

SharedState::SharedState(Duration freshness) : m_freshness(freshness) { }

void SharedState::apply(const std::vector<StateRow> &rows, std::optional<Instant> readAt)
{
    const std::lock_guard lock(m_mutex);
    for (const StateRow &it : rows)
        m_cache.apply(it);
    if (readAt && (!m_readAt || *m_readAt < *readAt))
        m_readAt = readAt;
}

void SharedState::setConfiguration(std::shared_ptr<const Configuration> configuration)
{
    const std::lock_guard lock(m_mutex);
    if (!m_configuration || m_configuration->version < configuration->version)
        m_configuration = std::move(configuration);
}

std::shared_ptr<const Configuration> SharedState::configuration() const
{
    const std::lock_guard lock(m_mutex);
    return m_configuration;
}

std::optional<KeyRecord> SharedState::findKey(const KeyId &id) const
{
    const std::lock_guard lock(m_mutex);
    return m_cache.findKey(id);
}

std::vector<KeyRecord> SharedState::keys() const
{
    const std::lock_guard lock(m_mutex);
    return m_cache.keys();
}

Version SharedState::version() const
{
    const std::lock_guard lock(m_mutex);
    return m_cache.version();
}

std::vector<StateRow> SharedState::rowsAfter(Version version) const
{
    const std::lock_guard lock(m_mutex);
    return m_cache.rowsAfter(version);
}

ConfigurationPointer SharedState::newestConfiguration(Version &version) const
{
    const std::lock_guard lock(m_mutex);
    version = m_cache.configurationVersion();
    return m_cache.configuration();
}

bool SharedState::isFresh(Instant now) const
{
    const std::lock_guard lock(m_mutex);
    return m_readAt && now - *m_readAt <= m_freshness;
}

} // namespace quetzalyoke
