#include "Serving/Servers/ServerHealth.h"

#include <algorithm>

namespace quetzalyoke {

namespace {

// About the last ten answers count.
constexpr double failureWeight = 0.1;
constexpr double paceWeight = 0.1;

constexpr double leastSlowness = 0.2;
constexpr double mostSlowness = 20;

// A restarting server comes back within seconds; one request probes it after each pause.
constexpr std::chrono::milliseconds firstPause{250};
constexpr int mostDoublings = 3;

// Cuts and silence happen to healthy servers too; two in a row are treated as an outage.
constexpr int toleratedCuts = 1;

} // namespace

void ServerHealth::recordSuccess(Instant now)
{
    m_consecutiveFailures = 0;
    m_avoidedUntil = std::min(m_avoidedUntil, now);
    m_failureShare *= 1 - failureWeight;
}

void ServerHealth::recordFailure(Failure failure, Instant now)
{
    m_failureShare += (1 - m_failureShare) * failureWeight;
    if (failure == Failure::ErrorResponse)
        return;
    ++m_consecutiveFailures;
    if (failure != Failure::Unreachable && m_consecutiveFailures <= toleratedCuts)
        return;
    const int doublings = std::min(m_consecutiveFailures - 1, mostDoublings);
    m_avoidedUntil = std::max(m_avoidedUntil, now + firstPause * (1 << doublings));
}

void ServerHealth::recordLatencyRatio(double ratio)
{
    const double bounded = std::clamp(ratio, leastSlowness, mostSlowness);
    m_latencyRatio += (bounded - m_latencyRatio) * paceWeight;
}

void ServerHealth::reset(Instant now)
{
    *this = ServerHealth();
    m_avoidedUntil = now;
}

} // namespace quetzalyoke
