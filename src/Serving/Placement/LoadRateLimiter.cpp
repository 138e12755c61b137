#include "Serving/Placement/LoadRateLimiter.h"

#include <algorithm>

namespace quetzalyoke {

void LoadRateLimiter::setRate(double loadsPerSecond, double burst, Instant now)
{
    refill(now);
    m_rate = loadsPerSecond;
    m_burst = burst;
    m_available = std::min(m_available, burst);
}

void LoadRateLimiter::refill(Instant now)
{
    if (m_refilledAt != Instant() && now > m_refilledAt) {
        const double elapsed = toSeconds(now - m_refilledAt);
        m_available = std::min(m_burst, m_available + m_rate * elapsed);
    }
    m_refilledAt = std::max(m_refilledAt, now);
}

bool LoadRateLimiter::canStartLoad(Instant now)
{
    refill(now);
    return m_available >= 1;
}

bool LoadRateLimiter::tryAcquire(Instant now)
{
    if (!canStartLoad(now))
        return false;
    m_available -= 1;
    return true;
}

} // namespace quetzalyoke
