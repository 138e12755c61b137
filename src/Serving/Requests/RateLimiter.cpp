#include "Serving/Requests/RateLimiter.h"

#include <algorithm>

namespace quetzalyoke {

void RateLimiter::setRate(double perSecond, double burst, Instant now)
{
    refill(now);
    m_rate = perSecond;
    m_burst = burst;
    m_available = std::min(m_available, burst);
}

void RateLimiter::refill(Instant now)
{
    if (m_refilledAt != Instant() && now > m_refilledAt) {
        const double elapsed = toSeconds(now - m_refilledAt);
        m_available = std::min(m_burst, m_available + m_rate * elapsed);
    }
    m_refilledAt = std::max(m_refilledAt, now);
}

bool RateLimiter::canAcquire(Instant now)
{
    refill(now);
    return m_available >= 1;
}

bool RateLimiter::tryAcquire(Instant now)
{
    if (!canAcquire(now))
        return false;
    m_available -= 1;
    return true;
}

void RateLimiter::forceAcquire(Instant now)
{
    refill(now);
    m_available -= 1;
}

double RateLimiter::postpone(double uses, Duration maxDelay, Instant now)
{
    refill(now);
    const double most = m_rate * toSeconds(maxDelay) + m_available - 1;
    const double taken = std::max(0.0, std::min(uses, most));
    m_available -= taken;
    return taken;
}

Duration RateLimiter::timeUntilAvailable(Instant now)
{
    if (canAcquire(now))
        return Duration::zero();
    if (m_rate <= 0)
        return Duration::max();
    // Rounded up, so that a use is available after this time.
    return Duration(static_cast<std::int64_t>((1 - m_available) / m_rate * 1e6) + 1);
}

} // namespace quetzalyoke
