#include "StandIns/Platform/WeightStoreSimulator.h"

#include <algorithm>

namespace quetzalyoke::standins {

namespace {

// The loads in flight share the store's bandwidth, which is enough for atFullSpeed loads.
Duration sharedLoadTime(Duration time, std::int64_t inFlight, std::int64_t atFullSpeed)
{
    return inFlight <= atFullSpeed ? time : time * inFlight / atFullSpeed;
}

} // namespace

Duration WeightStoreSimulator::beginLoad(Kind kind, Instant now)
{
    if (kind == Kind::Adapter) {
        return sharedLoadTime(m_settings.adapterLoadTime, ++m_adapterLoads,
                              m_settings.adapterLoadsAtFullSpeed)
            / m_settings.timeScale;
    }
    const Duration time = sharedLoadTime(m_settings.modelLoadTime, ++m_modelLoads,
                                         m_settings.modelLoadsAtFullSpeed);
    return queueingDelay(now) + time / m_settings.timeScale;
}

void WeightStoreSimulator::endLoad(Kind kind)
{
    --(kind == Kind::Adapter ? m_adapterLoads : m_modelLoads);
}

Duration WeightStoreSimulator::queueingDelay(Instant now)
{
    if (m_settings.modelLoadsPerSecond == 0)
        return Duration(0);
    const Duration second = std::chrono::seconds(1);
    const Instant start = std::max(now, m_nextStart);
    m_nextStart = start + second / (m_settings.modelLoadsPerSecond * m_settings.timeScale);
    return start - now;
}

} // namespace quetzalyoke::standins
