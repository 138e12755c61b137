#include "StandIns/Platform/WeightStoreSimulator.h"

#include <algorithm>

namespace quetzalyoke::standins {

namespace {

// All loads in flight share the store's full speed.
Duration stretched(Duration time, std::int64_t inFlight, std::int64_t atFullSpeed)
{
    return inFlight <= atFullSpeed ? time : time * inFlight / atFullSpeed;
}

} // namespace

Duration WeightStoreSimulator::beginLoad(Kind kind, Instant now)
{
    if (kind == Kind::Adapter) {
        return stretched(m_settings.adapterLoadTime, ++m_adapters,
                         m_settings.adapterLoadsAtFullSpeed)
            / m_settings.timeScale;
    }
    const Duration time
        = stretched(m_settings.modelLoadTime, ++m_models, m_settings.modelLoadsAtFullSpeed);
    return queueingDelay(now) + time / m_settings.timeScale;
}

void WeightStoreSimulator::endLoad(Kind kind)
{
    --(kind == Kind::Adapter ? m_adapters : m_models);
}

Duration WeightStoreSimulator::queueingDelay(Instant now)
{
    if (m_settings.modelLoadsPerSecond == 0)
        return Duration(0);
    const Duration second = std::chrono::seconds(1);
    const Instant turn = std::max(now, m_nextTurn);
    m_nextTurn = turn + second / (m_settings.modelLoadsPerSecond * m_settings.timeScale);
    return turn - now;
}

} // namespace quetzalyoke::standins
