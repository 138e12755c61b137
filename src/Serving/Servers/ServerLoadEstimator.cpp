#include "Serving/Servers/ServerLoadEstimator.h"

#include <algorithm>
#include <cmath>

namespace quetzalyoke {

namespace {

// Time constant with which a stated load loses its weight. Requests to plain services take some
// tens of milliseconds.
constexpr double correlationSeconds = 0.08;

// Averaging window of the mean.
constexpr double meanSeconds = 1.0;

// A stated load is used for this long; after that only the work that gateways report counts.
constexpr double lifetimeSeconds = 5.0;

} // namespace

void ServerLoadEstimator::record(int running, int waiting, Instant now)
{
    const double load = running + waiting;
    const double elapsed = m_at ? std::max(0.0, toSeconds(now - *m_at)) : lifetimeSeconds;
    // At least a tenth, so that many responses in quick succession count as well.
    const double weight = m_at ? std::max(0.1, 1 - std::exp(-elapsed / meanSeconds)) : 1.0;
    m_mean += (load - m_mean) * weight;
    m_latest = load;
    m_at = now;
}

std::optional<double> ServerLoadEstimator::estimatedRequests(Instant now) const
{
    if (!m_at)
        return {};
    const double age = std::max(0.0, toSeconds(now - *m_at));
    if (age > lifetimeSeconds)
        return {};
    return m_mean + (m_latest - m_mean) * std::exp(-age / correlationSeconds);
}

} // namespace quetzalyoke
