#include "StandIns/Platform/Faults.h"

namespace quetzalyoke::standins {

void Faults::set(const FaultPlan &plan, Instant now)
{
    const std::lock_guard lock(m_mutex);
    m_setAt = now;
    m_plan = plan;
}

FaultPlan Faults::current(Instant now) const
{
    const std::lock_guard lock(m_mutex);
    if (m_plan.lasts.count() > 0 && now >= m_setAt + m_plan.lasts)
        return {};
    return m_plan;
}

bool Faults::takeLostAnswer()
{
    const std::lock_guard lock(m_mutex);
    if (m_plan.lostAnswers == 0)
        return false;
    --m_plan.lostAnswers;
    return true;
}

} // namespace quetzalyoke::standins
