#include "Serving/Servers/ServerHealth.h"

#include <algorithm>

namespace quetzalyoke {

namespace {

// The averages cover about the last ten responses.
constexpr double failureWeight = 0.1;
constexpr double latencyWeight = 0.1;

constexpr double minLatencyRatio = 0.2;
constexpr double maxLatencyRatio = 20;

// A restarting server is back within seconds. After each pause one request probes it.
constexpr std::chrono::milliseconds initialPause{250};
constexpr int maxDoublings = 3;

// Lost connections and timeouts also happen to healthy servers; two in a row are treated as an
// outage.
constexpr int toleratedFailures = 1;

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
    if (failure != Failure::Unreachable && m_consecutiveFailures <= toleratedFailures)
        return;
    const int doublings = std::min(m_consecutiveFailures - 1, maxDoublings);
    m_avoidedUntil = std::max(m_avoidedUntil, now + initialPause * (1 << doublings));
}

void ServerHealth::recordLatency(Duration measured, Duration usual, double pace)
{
    if (usual <= Duration::zero() || pace <= 0)
        return;
    const double ratio = std::clamp(toSeconds(measured) / toSeconds(usual) / pace, minLatencyRatio,
                                    maxLatencyRatio);
    m_latencyRatio += (ratio - m_latencyRatio) * latencyWeight;
}

void ServerHealth::reset(Instant now)
{
    *this = ServerHealth();
    m_avoidedUntil = now;
}

} // namespace quetzalyoke
