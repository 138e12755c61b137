#include "Serving/Servers/ColdPeriod.h"

#include <algorithm>
#include <cmath>

namespace quetzalyoke {

namespace {

// Statements of the same end differ by the time they take to arrive. Without this tolerance,
// gateways would extend the period by telling each other of it.
constexpr Duration endTolerance = std::chrono::milliseconds(250);

// Smaller changes of the end are not worth a log line: entries arrive up to some seconds late.
constexpr Duration notableChange = std::chrono::seconds(1);

// After the end the rate doubles within each doublingTime, so that the requests of all gateways
// don't arrive at once. After rampTime it is 16 times the rate of a cold server, and ends.
constexpr Duration doublingTime = std::chrono::milliseconds(500);
constexpr Duration rampTime = std::chrono::seconds(2);

} // namespace

const char *coldSourceText(ColdSource source)
{
    switch (source) {
    case ColdSource::None:
        return "none";
    case ColdSource::Entry:
        return "entry";
    case ColdSource::Start:
        return "start";
    case ColdSource::Response:
        return "answer";
    case ColdSource::Peer:
        return "peer";
    }
    return "unknown";
}

bool ColdPeriod::recordEntry(Duration remaining, Instant now)
{
    Instant until = now + remaining;
    if (remaining.count() == 0 && !isCold(now))
        return false;
    if (m_isEntryOlder) {
        if (remaining.count() == 0 || until < m_until - endTolerance)
            return false;
        until = std::max(until, m_until);
    }
    m_isEntryOlder = false;
    return set(until, ColdSource::Entry, now);
}

bool ColdPeriod::recordStart(Duration remaining, Instant now)
{
    if (now + remaining <= m_until || remaining.count() == 0)
        return false;
    m_isEntryOlder = false;
    return set(now + remaining, ColdSource::Start, now);
}

bool ColdPeriod::recordEnd(Duration remaining, Instant now)
{
    if (now + remaining <= m_until + endTolerance || remaining.count() == 0)
        return false;
    // Later entries of this incarnation are from before its end.
    m_isEntryOlder = true;
    return set(now + remaining, ColdSource::Start, now);
}

bool ColdPeriod::recordResponse(Duration remaining, Instant sentAt, Instant now)
{
    const Instant until = now + remaining;
    const bool isNewer = sentAt > m_changedAt;
    if (until <= m_until + endTolerance && !(isNewer && until < m_until - endTolerance))
        return false;
    if (remaining.count() == 0 && !isCold(now))
        return false;
    m_isEntryOlder = true;
    return set(until, ColdSource::Response, now);
}

bool ColdPeriod::recordPeer(Duration remaining, Instant now)
{
    const Instant until = now + remaining;
    if (remaining.count() == 0 || until <= m_until + endTolerance)
        return false;
    m_isEntryOlder = true;
    return set(until, ColdSource::Peer, now);
}

bool ColdPeriod::set(Instant until, ColdSource source, Instant now)
{
    const bool wasCold = isCold(now);
    const Duration change = until > m_until ? until - m_until : m_until - until;
    m_until = until;
    m_source = source;
    m_changedAt = now;
    if (isCold(now) && !wasCold)
        m_beganAt = now;
    return isCold(now) != wasCold || change >= notableChange;
}

Duration ColdPeriod::remaining(Instant now) const
{
    return std::max(Duration(0), m_until - now);
}

std::optional<RequestRate> ColdPeriod::requestRate(RequestRate coldRate, Instant now) const
{
    if (isCold(now))
        return coldRate;
    if (m_source == ColdSource::None || now >= m_until + rampTime)
        return {};
    const double doublings = toSeconds(now - m_until) / toSeconds(doublingTime);
    return RequestRate(coldRate.perSecond() * std::exp2(doublings));
}

} // namespace quetzalyoke
