#include "StandIns/Platform/PlatformFaults.h"

namespace quetzalyoke::standins {

void PlatformFaults::set(const PlatformFaultSettings &settings, Instant now)
{
    const std::lock_guard lock(m_mutex);
    m_setAt = now;
    m_settings = settings;
}

PlatformFaultSettings PlatformFaults::current(Instant now) const
{
    const std::lock_guard lock(m_mutex);
    if (m_settings.duration.count() > 0 && now >= m_setAt + m_settings.duration)
        return {};
    return m_settings;
}

bool PlatformFaults::consumeResponseDrop()
{
    const std::lock_guard lock(m_mutex);
    if (m_settings.responsesToDrop == 0)
        return false;
    --m_settings.responsesToDrop;
    return true;
}

} // namespace quetzalyoke::standins
