#include "Serving/Servers/ServerLoadEstimator.h"

#include <algorithm>
#include <cmath>

namespace quetzalyoke {

namespace {

// Calls of plain services take some tens of milliseconds.
constexpr double correlationSeconds = 0.08;

// Over which the mean is taken.
constexpr double meanSeconds = 1.0;

// A server that has answered nothing for this long is known from peers' news alone.
constexpr double lifetimeSeconds = 5.0;

} // namespace

void ServerLoadEstimator::record(int running, int waiting, Instant now)
{
    const double load = running + waiting;
    const double elapsed = m_at ? std::max(0.0, toSeconds(now - *m_at)) : lifetimeSeconds;
    // At least a tenth, so that many answers at once count, too.
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
