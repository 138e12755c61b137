#ifndef QUETZALYOKE_SERVING_SERVERS_REQUESTPERMITISSUER_H
#define QUETZALYOKE_SERVING_SERVERS_REQUESTPERMITISSUER_H

#include "Serving/Requests/RateLimiter.h"
#include "Serving/Servers/RequestRate.h"

#include <map>
#include <optional>
#include <set>

namespace quetzalyoke {

/// \brief Issues the permits for requests to servers that state a request limit or are cold; no
/// I/O.
///
/// A limit holds for all gateways together, and a limit of a few requests a second can't be divided
/// among hundreds of them. So one gateway, the lease holder, issues a permit for each request. The
/// two limits of a server are kept apart, since orders count towards the stated one only.
class RequestPermitIssuer
{
public:
    /// A server with its limits, as the issuer or the requesting gateway knows them.
    struct LimitedServer
    {
        ServerName name;
        Incarnation incarnation;
        std::optional<RequestRate> limit; ///< That the server states.
        Instant limitBeganAt; ///< \sa StatedRequestLimit::beganAt()
        std::optional<RequestRate> coldRate = {}; ///< \sa ColdPeriod::requestRate()
        Instant coldSince = {}; ///< \sa ColdPeriod::beganAt()
    };
    struct Decision
    {
        bool isGranted = false;
        Duration retryAfter{0}; ///< If not granted: the time until there is a permit.
    };

    /// Counts the requests that \a gateway sent to \a server just before the limit began.
    void recordRecentRequests(const LimitedServer &server, const InstanceId &gateway,
                              int recentRequests, Instant now);
    /// Decides on the request of \a gateway for one permit. \a recentRequests is how many requests
    /// it sent to the server just before the limit began.
    Decision decide(const LimitedServer &server, const InstanceId &gateway, int recentRequests,
                    Instant now);
    /// Returns when the issuer's own calls to \a server, which count towards its stated limit, may
    /// go on.
    Instant callableAt(const LimitedServer &server, Instant now);
    /// Counts a call of the issuer itself to \a server, such as an order.
    void recordCall(const ServerName &server, Incarnation incarnation, Instant now);
    /// Forgets the servers for which no permit was requested for a long time.
    void removeUnused(Instant now);
    /// Forgets all servers, since another gateway issues the permits now.
    void clear() { m_servers.clear(); }

private:
    struct Limit
    {
        bool isInForce = false;
        Instant beganAt;
        RateLimiter limiter;
        std::set<InstanceId> reporters; // gateways whose recent requests are counted
        int recentRequests = 0;
        double paidBack = 0; // recent requests that the limiter has counted
    };
    struct Server
    {
        Incarnation incarnation;
        Limit stated;
        Limit cold;
        Instant usedAt;
    };

    Server &update(const LimitedServer &limited, Instant now);
    static void updateCold(const LimitedServer &limited, Limit &limit, Instant now);

    std::map<ServerName, Server> m_servers;
};

} // namespace quetzalyoke

#endif
