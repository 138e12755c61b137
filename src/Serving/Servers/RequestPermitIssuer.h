#ifndef QUETZALYOKE_SERVING_SERVERS_REQUESTPERMITISSUER_H
#define QUETZALYOKE_SERVING_SERVERS_REQUESTPERMITISSUER_H

#include "Serving/Requests/RateLimiter.h"
#include "Serving/Servers/RequestRate.h"

#include <map>

namespace quetzalyoke {

/// \brief Issues the permits for requests to servers that state a request limit; no I/O.
///
/// A limit holds for all gateways together, and a limit of a few requests a second can't be divided
/// among hundreds of them. So one gateway, the lease holder, issues a permit for each request.
class RequestPermitIssuer
{
public:
    struct Decision
    {
        bool isGranted = false;
        Duration retryAfter{0}; ///< If not granted: the time until there is a permit.
    };

    /// Decides on a gateway's request for one permit to send to \a server, which states \a limit.
    Decision decide(const ServerName &server, Incarnation incarnation, RequestRate limit,
                    Instant now);
    /// Returns when the issuer's own calls to \a server, which count like requests, may go on.
    Instant callableAt(const ServerName &server, Incarnation incarnation, RequestRate limit,
                       Instant now);
    /// Counts a call of the issuer itself to \a server, such as an order.
    void recordCall(const ServerName &server, Incarnation incarnation, Instant now);
    /// Forgets the servers for which no permit was requested for a long time.
    void removeUnused(Instant now);
    /// Forgets all servers, since another gateway issues the permits now.
    void clear() { m_servers.clear(); }

private:
    struct Server
    {
        Incarnation incarnation;
        RateLimiter limiter;
        Instant usedAt;
    };

    Server &update(const ServerName &server, Incarnation incarnation, RequestRate limit,
                   Instant now);

    std::map<ServerName, Server> m_servers;
};

} // namespace quetzalyoke

#endif
