#include "Serving/Servers/RequestPermitIssuer.h"

#include <algorithm>

namespace quetzalyoke {

namespace {

// Permits that may be used in a burst, as a time at the limit.
constexpr double burstSeconds = 0.25;

// A server that states a lower limit, such as zero, still gets requests at this rate, since only
// its responses show that the limit has ended.
constexpr RequestRate minimumRate(0.05);

// A gateway that asks for a server's former incarnation has read the new one's entry by then.
constexpr Duration formerIncarnationRetry = std::chrono::seconds(1);

// Longer than the time between two permits at the minimum rate.
constexpr Duration unusedRetention = std::chrono::minutes(2);

} // namespace

RequestPermitIssuer::Server &RequestPermitIssuer::update(const ServerName &name,
                                                         Incarnation incarnation, RequestRate limit,
                                                         Instant now)
{
    Server &server = m_servers[name];
    if (incarnation > server.incarnation)
        server = Server{incarnation, {}, {}};
    const double perSecond = std::max(limit, minimumRate).perSecond();
    server.limiter.setRate(perSecond, std::max(1.0, perSecond * burstSeconds), now);
    server.usedAt = now;
    return server;
}

RequestPermitIssuer::Decision RequestPermitIssuer::decide(const ServerName &name,
                                                          Incarnation incarnation,
                                                          RequestRate limit, Instant now)
{
    Server &server = update(name, incarnation, limit, now);
    if (incarnation < server.incarnation)
        return {false, formerIncarnationRetry};
    if (server.limiter.tryAcquire(now))
        return {true, {}};
    return {false, server.limiter.timeUntilAvailable(now)};
}

Instant RequestPermitIssuer::callableAt(const ServerName &name, Incarnation incarnation,
                                        RequestRate limit, Instant now)
{
    return now + update(name, incarnation, limit, now).limiter.timeUntilAvailable(now);
}

void RequestPermitIssuer::recordCall(const ServerName &name, Incarnation incarnation, Instant now)
{
    const auto it = m_servers.find(name);
    if (it != m_servers.end() && it->second.incarnation == incarnation)
        it->second.limiter.forceAcquire(now);
}

void RequestPermitIssuer::removeUnused(Instant now)
{
    std::erase_if(m_servers,
                  [now](const auto &entry) { return now - entry.second.usedAt > unusedRetention; });
}

} // namespace quetzalyoke
