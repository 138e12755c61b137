#include "StandIns/Platform/PlatformFaults.h"

namespace quetzalyoke::standins {

void PlatformFaults::set(const PlatformFaultSettings &plan, Instant now)
{
    const std::lock_guard lock(m_mutex);
    m_setAt = now;
    m_plan = plan;
}

PlatformFaultSettings PlatformFaults::current(Instant now) const
{
    const std::lock_guard lock(m_mutex);
    if (m_plan.duration.count() > 0 && now >= m_setAt + m_plan.duration)
        return {};
    return m_plan;
}

bool PlatformFaults::consumeResponseDrop()
{
    const std::lock_guard lock(m_mutex);
    if (m_plan.responsesToDrop == 0)
        return false;
    --m_plan.responsesToDrop;
    return true;
}

} // namespace quetzalyoke::standins
