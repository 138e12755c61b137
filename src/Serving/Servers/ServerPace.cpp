#include "Serving/Servers/ServerPace.h"

#include <algorithm>
#include <cmath>

namespace quetzalyoke {

namespace {

// Time constant with which a stated pace loses its weight. Machines are slowed for 600 ms at a
// time, so a slow-down lasts for another 300 ms on average.
constexpr double correlationSeconds = 0.3;

// Averaging window of the mean; it covers several slow-downs.
constexpr double meanSeconds = 10;

// A single statement stands for this much time of the mean at most.
constexpr double maxStatementSeconds = 1;

// Time constant with which the mean of a server that states nothing any more tends to the usual
// pace.
constexpr double lifetimeSeconds = 30;

} // namespace

void ServerPace::record(double percent, Instant now)
{
    const double stated = percent / 100;
    const double elapsed = m_at ? std::max(0.0, toSeconds(now - *m_at)) : maxStatementSeconds;
    m_mean = 1 + (m_mean - 1) * std::exp(-elapsed / lifetimeSeconds);
    m_mean += (stated - m_mean)
        * (1 - std::exp(-std::min(elapsed, maxStatementSeconds) / meanSeconds));
    m_latest = stated;
    m_at = now;
}

double ServerPace::factor(Instant now) const
{
    if (!m_at)
        return 1;
    const double age = std::max(0.0, toSeconds(now - *m_at));
    const double mean = 1 + (m_mean - 1) * std::exp(-age / lifetimeSeconds);
    return mean + (m_latest - mean) * std::exp(-age / correlationSeconds);
}

} // namespace quetzalyoke
