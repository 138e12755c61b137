#include "Serving/Servers/RequestPermits.h"

#include <algorithm>

namespace quetzalyoke {

namespace {

// A permit that is not used soon is lost, so that saved permits can't be used all at once.
constexpr Duration permitLifetime = std::chrono::milliseconds(200);

// A datagram may be lost once.
constexpr Duration resendDelay = std::chrono::milliseconds(90);
constexpr Duration responseTimeout = std::chrono::milliseconds(200);

// For how long the own share is used before the issuer is asked again.
constexpr Duration ownShareTime = std::chrono::seconds(1);

// Part of the limit that gateways use without the issuer. Together with the issuer's permits it
// stays within the one and a half times the limit that the platform tolerates.
constexpr double ownShareOfLimit = 0.3;

// Credit of the own share that may be saved, as a time at its rate.
constexpr double ownShareBurstSeconds = 0.25;

// Time before a limit's begin in which requests count as recent. The platform checks limits from
// three seconds after their begin in windows of four; the rest covers the way of the statement.
constexpr Duration recentTime = std::chrono::milliseconds(1200);

// Requests from before the limit's begin matter until they are out of every window.
constexpr Duration recentRelevance = std::chrono::seconds(4);

// A denial is in force at least this long, so that a gateway doesn't ask all the time.
constexpr Duration minDenialTime = std::chrono::milliseconds(20);

} // namespace

double RequestPermits::ownShareLevel(Instant now) const
{
    const double maxLevel = std::max(1.0, m_ownSharePerSecond * ownShareBurstSeconds);
    return std::min(maxLevel,
                    m_ownShareLevel + m_ownSharePerSecond * toSeconds(now - m_ownShareUpdatedAt));
}

std::size_t RequestPermits::validPermits(Instant now) const
{
    return static_cast<std::size_t>(
        std::count_if(m_permits.begin(), m_permits.end(), [now](Instant it) { return it > now; }));
}

RequestPermits::Availability RequestPermits::availability(Instant now) const
{
    if (validPermits(now) > 0)
        return Availability::Available;
    if (usesOwnShare(now))
        return ownShareLevel(now) >= 1 ? Availability::Available : Availability::Exhausted;
    return now < m_deniedUntil ? Availability::Exhausted : Availability::Requestable;
}

Instant RequestPermits::exhaustedUntil() const
{
    return std::max(m_ownShareUntil, m_deniedUntil);
}

void RequestPermits::recordSent(Instant now)
{
    m_recentlySent.push_back(now);
    while (m_recentlySent.front() < now - recentTime - recentRelevance)
        m_recentlySent.pop_front();
}

int RequestPermits::recentRequests(Instant beganAt, Instant now) const
{
    if (now - beganAt > recentRelevance)
        return 0;
    return static_cast<int>(
        std::count_if(m_recentlySent.begin(), m_recentlySent.end(), [beganAt](Instant it) {
            return it > beganAt - recentTime && it <= beganAt;
        }));
}

Instant RequestPermits::take(Instant now)
{
    std::erase_if(m_permits, [now](Instant it) { return it <= now; });
    if (m_permits.empty()) {
        m_ownShareLevel = ownShareLevel(now) - 1;
        m_ownShareUpdatedAt = now;
        return now + permitLifetime;
    }
    const Instant until = m_permits.front();
    m_permits.erase(m_permits.begin());
    return until;
}

void RequestPermits::recordRequest(Number number, Instant now)
{
    m_pending[number] = {now, false};
}

bool RequestPermits::onGranted(Number number, Instant now)
{
    if (m_pending.erase(number) == 0)
        return false;
    m_ownShareUntil = Instant();
    m_permits.push_back(now + permitLifetime);
    return true;
}

bool RequestPermits::onDenied(Number number, Duration retryAfter, Instant now)
{
    if (m_pending.erase(number) == 0)
        return false;
    m_ownShareUntil = Instant();
    m_deniedUntil = now + std::max(retryAfter, minDenialTime);
    return true;
}

// Nobody knows how many requests all gateways have sent just before the limit began, so the share
// begins when these no longer matter.
void RequestPermits::useOwnShare(RequestRate limit, Instant beganAt, std::size_t gateways,
                                 double level, Instant now)
{
    m_pending.clear();
    m_ownSharePerSecond = limit.perSecond() * ownShareOfLimit / static_cast<double>(gateways);
    m_ownShareLevel = level;
    m_ownShareUpdatedAt = std::max(now, beganAt + recentRelevance);
    m_ownShareUntil = now + ownShareTime;
}

std::vector<RequestPermits::Number> RequestPermits::requestsToResend(Instant now)
{
    std::vector<Number> numbers;
    for (auto &[number, pending] : m_pending) {
        if (pending.isResent || now - pending.requestedAt < resendDelay)
            continue;
        pending.isResent = true;
        numbers.push_back(number);
    }
    return numbers;
}

bool RequestPermits::isIssuerSilent(Instant now) const
{
    return std::any_of(m_pending.begin(), m_pending.end(), [now](const auto &entry) {
        return now - entry.second.requestedAt >= responseTimeout;
    });
}

} // namespace quetzalyoke
