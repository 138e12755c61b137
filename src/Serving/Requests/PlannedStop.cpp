#include "Serving/Requests/PlannedStop.h"

namespace quetzalyoke {

namespace {

// The platform takes an instance out of rotation after two failed readiness checks one second
// apart; connections that it has already assigned may still arrive after that.
constexpr Duration rotationRemovalTime = std::chrono::milliseconds(2800);

// Part of the grace time that is kept for the last bytes of responses.
constexpr Duration endMargin = std::chrono::milliseconds(400);

// Part of the grace time in which the callers of requests that were ended read their responses.
constexpr Duration runMargin = std::chrono::milliseconds(600);

// Part of the grace time in which no request waits for a server any more, so that those that did
// are refused and their callers read it.
constexpr Duration waitMargin = std::chrono::milliseconds(1400);

} // namespace

void PlannedStop::begin(Instant now, Duration grace)
{
    m_outOfRotationAt = now + rotationRemovalTime;
    m_waitsUntil = now + grace - waitMargin;
    m_runsUntil = now + grace - runMargin;
    m_endsAt = now + grace - endMargin;
}

} // namespace quetzalyoke
