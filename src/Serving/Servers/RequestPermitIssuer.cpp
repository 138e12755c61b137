#include "Serving/Servers/RequestPermitIssuer.h"

#include <algorithm>

namespace quetzalyoke {

namespace {

// Permits that may be used in a burst, as a time at the limit.
constexpr double burstSeconds = 0.25;

// A server that states a lower limit, such as zero, still gets requests at this rate, since only
// its responses show that the limit has ended.
constexpr RequestRate minimumRate(0.05);

// Requests from just before a limit began that are tolerated: a number, and a time at the limit.
// Together with the permits of the first three seconds they are within what the platform allows.
constexpr int toleratedRecentRequests = 3;
constexpr double toleratedRecentSeconds = 2.5;

// The most that is paid back, as a time at the limit, so that a server is not idle for long.
constexpr double maxPaybackSeconds = 3;

// The platform counts requests in windows of this length.
constexpr Duration windowTime = std::chrono::seconds(4);

// The platform counts the requests to a cold server in windows of a second, and allows one and a
// half times the rate and 5 requests. Permits are used up to 0.2 s after they were issued, so a
// window may have those of 1.2 s and the burst, and beside them the own shares of gateways without
// the issuer, whose number is random. At 6.9 a second, where 15 are allowed, ColdServerScheduleTest
// counts 11 at most with 100 seeds; with the constants of stated limits it counts 14.
constexpr double usedShareOfCold = 0.9;
constexpr double coldBurstSeconds = 0.1;
constexpr Duration coldWindowTime = std::chrono::seconds(1);

// A gateway that asks for a server's former incarnation has read the new one's entry by then.
constexpr Duration formerIncarnationRetry = std::chrono::seconds(1);

// Longer than the time between two permits at the minimum rate.
constexpr Duration unusedRetention = std::chrono::minutes(2);

} // namespace

RequestPermitIssuer::Server &RequestPermitIssuer::update(const LimitedServer &limited, Instant now)
{
    Server &server = m_servers[limited.name];
    if (limited.incarnation < server.incarnation)
        return server;
    if (limited.incarnation > server.incarnation)
        server = Server();
    server.incarnation = limited.incarnation;
    server.usedAt = now;
    if (limited.limit) {
        if (!server.stated.isInForce || limited.limitBeganAt != server.stated.beganAt)
            server.stated = Limit();
        server.stated.isInForce = true;
        server.stated.beganAt = limited.limitBeganAt;
        const double perSecond = std::max(*limited.limit, minimumRate).perSecond();
        server.stated.limiter.setRate(perSecond, std::max(1.0, perSecond * burstSeconds), now);
    } else {
        server.stated.isInForce = false;
    }
    updateCold(limited, server.cold, now);
    return server;
}

// Whoever has sent requests within the last second, such as a gateway that learns of the cold
// period late or an earlier issuer, has used up the first second.
void RequestPermitIssuer::updateCold(const LimitedServer &limited, Limit &limit, Instant now)
{
    if (!limited.coldRate) {
        limit.isInForce = false;
        return;
    }
    const bool isNew = !limit.isInForce || limited.coldSince != limit.beganAt;
    if (isNew)
        limit = Limit();
    limit.isInForce = true;
    limit.beganAt = limited.coldSince;
    const double perSecond = std::max(*limited.coldRate, minimumRate).perSecond() * usedShareOfCold;
    limit.limiter.setRate(perSecond, std::max(1.0, perSecond * coldBurstSeconds), now);
    if (isNew)
        limit.limiter.postpone(perSecond * toSeconds(coldWindowTime),
                               coldWindowTime + scaled(std::chrono::seconds(1), 1 / perSecond),
                               now);
}

// Requests from just before a limit began count in the same windows as the first permits. What they
// exceed is paid back before there are permits.
void RequestPermitIssuer::recordRecentRequests(const LimitedServer &limited,
                                               const InstanceId &gateway, int recentRequests,
                                               Instant now)
{
    Server &server = update(limited, now);
    if (recentRequests == 0 || limited.incarnation < server.incarnation)
        return;
    if (server.stated.isInForce && server.stated.reporters.insert(gateway).second) {
        Limit &stated = server.stated;
        stated.recentRequests += recentRequests;
        const int tolerated = toleratedRecentRequests
            + static_cast<int>(toleratedRecentSeconds * limited.limit->perSecond());
        const double due = std::min<double>(stated.recentRequests - tolerated,
                                            maxPaybackSeconds * limited.limit->perSecond());
        // Once the recent requests are out of every window, there is nothing left to pay back.
        stated.paidBack += stated.limiter.postpone(due - stated.paidBack, windowTime, now);
    }
    if (server.cold.isInForce && server.cold.reporters.insert(gateway).second)
        server.cold.limiter.postpone(recentRequests, coldWindowTime, now);
}

RequestPermitIssuer::Decision RequestPermitIssuer::decide(const LimitedServer &limited,
                                                          const InstanceId &gateway,
                                                          int recentRequests, Instant now)
{
    recordRecentRequests(limited, gateway, recentRequests, now);
    Server &server = m_servers[limited.name];
    if (limited.incarnation < server.incarnation)
        return {false, formerIncarnationRetry};
    Duration retryAfter(0);
    for (Limit *limit : {&server.stated, &server.cold}) {
        if (limit->isInForce)
            retryAfter = std::max(retryAfter, limit->limiter.timeUntilAvailable(now));
    }
    if (retryAfter.count() > 0)
        return {false, retryAfter};
    for (Limit *limit : {&server.stated, &server.cold}) {
        if (limit->isInForce)
            limit->limiter.tryAcquire(now);
    }
    return {true, {}};
}

Instant RequestPermitIssuer::callableAt(const LimitedServer &limited, Instant now)
{
    if (!limited.limit)
        return now;
    return now + update(limited, now).stated.limiter.timeUntilAvailable(now);
}

void RequestPermitIssuer::recordCall(const ServerName &name, Incarnation incarnation, Instant now)
{
    const auto it = m_servers.find(name);
    if (it != m_servers.end() && it->second.incarnation == incarnation
        && it->second.stated.isInForce)
        it->second.stated.limiter.forceAcquire(now);
}

void RequestPermitIssuer::removeUnused(Instant now)
{
    std::erase_if(m_servers,
                  [now](const auto &entry) { return now - entry.second.usedAt > unusedRetention; });
}

} // namespace quetzalyoke
