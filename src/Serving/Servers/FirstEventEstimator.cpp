#include "Serving/Servers/FirstEventEstimator.h"

#include <algorithm>
#include <cmath>

namespace quetzalyoke {

namespace {

// Peers report every 16 ms per peer, 400 ms with 25 gateways. Within this time new prompts take the
// place of those that have been read; a peer that reports nothing for longer may be cut off.
constexpr Duration usualPeerAge = std::chrono::milliseconds(500);

// Callers may state any number of tokens, whose time must not overflow.
constexpr double maxMilliseconds = 1e9;

Duration fromMilliseconds(double count)
{
    return Duration(static_cast<std::int64_t>(std::min(count, maxMilliseconds) * 1000));
}

} // namespace

FirstEventEstimator::Estimate FirstEventEstimator::estimate(const Input &input) const
{
    Estimate estimate;
    const double reported = input.ownRequests + input.peerRequests;
    // Both are estimates of the same number, each with an error of its own.
    const double known = input.statedRequests ? (reported + *input.statedRequests) / 2 : reported;
    estimate.requests = std::max(known, static_cast<double>(input.ownRequests));

    const double overdueMs = toSeconds(std::max(Duration(0), input.peerAge - usualPeerAge)) * 1000;
    const double readSince = overdueMs * m_settings.prefillTokensPerMs / input.slowness;
    // Prompts that wait for a slot are taken to be as long as this one.
    const double waiting = std::max(0.0, estimate.requests - input.slots) * input.promptTokens;
    const double queued
        = std::max(input.ownQueuedTokens + std::max(0.0, input.peerQueuedTokens - readSince),
                   waiting)
        + input.promptTokens;

    const double stepMs = toSeconds(m_settings.stepTime) * 1000
        + m_settings.stepTimePerRequestMs
            * std::min(estimate.requests, static_cast<double>(input.slots));
    const double prefillSteps = std::ceil(queued / m_settings.prefillTokensPerStep);
    const double readMs = queued / m_settings.prefillTokensPerMs + prefillSteps * stepMs;
    const double decodeMs = (m_settings.tokensPerEvent - 1) * stepMs;
    estimate.timeToFirstEvent
        = fromMilliseconds((readMs + decodeMs) * input.slowness) + input.pathDelay;

    // A prompt that is alone at an engine delays nobody.
    if (input.eventGapObjective > Duration::zero() && estimate.requests >= 1) {
        const Duration pause = fromMilliseconds(readMs * input.slowness);
        estimate.gapCost = std::max(Duration(0), pause - input.eventGapObjective);
    }
    return estimate;
}

} // namespace quetzalyoke
