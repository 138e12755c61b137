#include "Apps/Entry/PermitExchange.h"

#include "Adapters/Metrics.h"
#include "Adapters/StructuredLog.h"

namespace quetzalyoke {

namespace {

// Number of a message that only reports recent requests.
constexpr RequestPermits::Number reportNumber = 0;

} // namespace

PermitExchange::PermitExchange(EntryState &state, Hooks hooks)
    : m_state(state), m_hooks(std::move(hooks))
{ }

RequestPermitIssuer::Decision
PermitExchange::decide(const RequestPermitIssuer::LimitedServer &server, const InstanceId &gateway,
                       int recentRequests, Instant now)
{
    const RequestPermitIssuer::Decision decision
        = m_state.permitIssuer.decide(server, gateway, recentRequests, now);
    if (!decision.isGranted)
        m_state.replicaController.recordOverDemand(server.name, now);
    return decision;
}

RequestPermits::Number PermitExchange::requestPermit(const ServerName &name)
{
    ServerState &server = *m_state.servers.find(name);
    const Instant now = steadyNow();
    const RequestPermits::Number number = ++m_lastNumber;
    server.permits.recordRequest(number, now);
    // The limit may have ended since the server was chosen.
    if (!server.isLimited(now)) {
        server.permits.onGranted(number, now);
    } else if (m_hooks.isIssuer()) {
        const int recentRequests = server.permits.recentRequests(server.limitBeganAt(now), now);
        const auto decision
            = decide(server.limitedServer(now), m_state.settings.instance, recentRequests, now);
        applyDecision(server, number, decision.isGranted, decision.retryAfter);
    } else if (send(server, number)) {
        m_pendingServers.insert(name);
    } else {
        m_state.useOwnShare(server, "no_issuer");
    }
    return number;
}

void PermitExchange::reportRecentRequests(const ServerName &name)
{
    const ServerState &server = *m_state.servers.find(name);
    const Instant now = steadyNow();
    const int recentRequests = server.permits.recentRequests(server.limitBeganAt(now), now);
    if (recentRequests == 0)
        return;
    if (m_hooks.isIssuer())
        m_state.permitIssuer.recordRecentRequests(server.limitedServer(now),
                                                  m_state.settings.instance, recentRequests, now);
    else
        send(server, reportNumber);
}

bool PermitExchange::send(const ServerState &server, RequestPermits::Number number)
{
    const Instant now = steadyNow();
    wire::PeerPermitRequest request;
    request.server = server.listed.id.text();
    request.incarnation = server.listed.incarnation.count();
    request.number = number;
    const auto &stated = server.requestLimit.limit();
    const auto cold = server.coldRequestRate(now);
    request.requestsPerSecond = server.requestRate(now).value_or(RequestRate()).perSecond();
    if (stated) {
        request.requestsPerSecond = stated->perSecond();
        request.limitVersion = server.requestLimit.version();
    }
    if (cold)
        request.__set_coldRequestsPerSecond(cold->perSecond());
    request.recentRequests = server.permits.recentRequests(server.limitBeganAt(now), now);
    return m_hooks.sendRequest(request);
}

void PermitExchange::onRequest(const InstanceId &from, const wire::PeerPermitRequest &request)
{
    // The sender uses its own share if it gets no response.
    if (!m_hooks.isIssuer()) {
        Metrics::incrementCounter("permits", {{"outcome", "not_issuer"}});
        return;
    }
    RequestPermitIssuer::LimitedServer limited{
        ServerName(request.server), Incarnation(request.incarnation), {}, {}};
    if (request.limitVersion > 0 || !request.__isset.coldRequestsPerSecond) {
        limited.limit = RequestRate(request.requestsPerSecond);
        m_state.applyPeerRequestLimit(limited.name, limited.incarnation, limited.limit,
                                      request.limitVersion, from.text());
    }
    if (request.__isset.coldRequestsPerSecond)
        limited.coldRate = RequestRate(request.coldRequestsPerSecond);
    const Instant now = steadyNow();
    const ServerState *server = m_state.servers.find(limited.name);
    // A limit that has ended is still in force for the sender until it hears of that.
    if (server && server->listed.incarnation == limited.incarnation) {
        const auto known = server->limitedServer(now);
        if (known.limit) {
            limited.limit = known.limit;
            limited.limitBeganAt = known.limitBeganAt;
        }
        if (known.coldRate) {
            limited.coldRate
                = std::min(*known.coldRate, limited.coldRate.value_or(*known.coldRate));
            limited.coldSince = known.coldSince;
        }
    }
    if (request.number == reportNumber) {
        m_state.permitIssuer.recordRecentRequests(limited, from, request.recentRequests, now);
        return;
    }
    const auto decision = decide(limited, from, request.recentRequests, now);
    Metrics::incrementCounter("permits", {{"outcome", decision.isGranted ? "issued" : "refused"}});
    wire::PeerPermitReply reply;
    reply.server = request.server;
    reply.number = request.number;
    reply.isGranted = decision.isGranted;
    reply.retryAfterMs = static_cast<std::int32_t>(
        std::chrono::ceil<std::chrono::milliseconds>(decision.retryAfter).count());
    m_hooks.sendReply(from, reply);
}

void PermitExchange::onReply(const wire::PeerPermitReply &reply)
{
    ServerState *server = m_state.servers.find(ServerName(reply.server));
    if (!server || !server->permits.isPending(reply.number)) {
        Metrics::incrementCounter("permits", {{"outcome", "late"}});
        return;
    }
    applyDecision(*server, reply.number, reply.isGranted,
                  std::chrono::milliseconds(std::max(0, reply.retryAfterMs)));
    m_state.waitQueue.retryDispatches();
}

void PermitExchange::applyDecision(ServerState &server, RequestPermits::Number number,
                                   bool isGranted, Duration retryAfter)
{
    const Instant now = steadyNow();
    Metrics::incrementCounter("permits", {{"outcome", isGranted ? "granted" : "denied"}});
    if (isGranted) {
        server.permits.onGranted(number, now);
        return;
    }
    server.permits.onDenied(number, retryAfter, now);
    logRoutine("permit_denied", {{"server", server.listed.id}, {"retry_after_ms", retryAfter}});
}

void PermitExchange::tick()
{
    const Instant now = steadyNow();
    for (auto it = m_pendingServers.begin(); it != m_pendingServers.end();) {
        ServerState *server = m_state.servers.find(*it);
        if (!server || !server->isLimited(now) || !server->permits.hasPending()) {
            it = m_pendingServers.erase(it);
            continue;
        }
        if (server->permits.isIssuerSilent(now))
            m_state.useOwnShare(*server, "issuer_silent");
        for (const RequestPermits::Number number : server->permits.requestsToResend(now))
            send(*server, number);
        ++it;
    }
}

} // namespace quetzalyoke
