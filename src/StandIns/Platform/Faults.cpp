#include "StandIns/Platform/Faults.h"

namespace quetzalyoke::standins {

void Faults::set(const FaultPlan &plan)
{
    const std::lock_guard lock(m_mutex);
    m_plan = plan;
}

FaultPlan Faults::current() const
{
    const std::lock_guard lock(m_mutex);
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
