#include "Apps/Entry/ColdServerWatch.h"

#include "Adapters/Async/EventLoop.h"
#include "Adapters/Metrics.h"
#include "Adapters/StructuredLog.h"

namespace quetzalyoke {

namespace {

// A server may repeat an unusable value in each response and each entry.
constexpr Duration ignoredLogInterval = std::chrono::seconds(10);

} // namespace

void ColdServerWatch::applyResponse(const ServerName &name, Incarnation incarnation,
                                    const BackendResponseInfo &responseInfo, Instant sentAt)
{
    ServerState *server = m_servers.find(name);
    if (!server || (!responseInfo.coldTime && !responseInfo.hasInvalidColdTime))
        return;
    const Instant now = steadyNow();
    if (responseInfo.hasInvalidColdTime) {
        logIgnored(*server, incarnation, "its cold time is not a number within 10 minutes", now);
        return;
    }
    if (server->listed.incarnation != incarnation) {
        logIgnored(*server, incarnation, "another incarnation is listed", now);
        return;
    }
    // Only the server's own successful response shows that it is warm earlier than believed.
    const Instant newerThan = responseInfo.mayEndRequestLimit ? sentAt : Instant();
    if (!server->coldPeriod.recordResponse(*responseInfo.coldTime, newerThan, now))
        return;
    logBelief(*server, coldSourceText(ColdSource::Response), now);
    if (server->isCold(now) && m_hooks.onColdStated)
        m_hooks.onColdStated(name);
}

void ColdServerWatch::recordProcessEnd(const ServerName &name, Incarnation incarnation)
{
    const Instant now = steadyNow();
    if (!m_servers.recordProcessEnd(name, incarnation, now))
        return;
    ServerState &server = *m_servers.find(name);
    logBelief(server, coldSourceText(ColdSource::Start), now);
    if (server.isCold(now) && m_hooks.onColdStated)
        m_hooks.onColdStated(name);
}

void ColdServerWatch::applyPeer(const ServerName &name, Incarnation incarnation, Duration remaining,
                                const std::string &peer)
{
    ServerState *server = m_servers.find(name);
    const Instant now = steadyNow();
    if (server && server->listed.incarnation == incarnation
        && server->coldPeriod.recordPeer(remaining, now))
        logBelief(*server, peer, now);
}

void ColdServerWatch::onEntryApplied(const ServerName &name)
{
    ServerState *server = m_servers.find(name);
    if (!server)
        return;
    const Instant now = steadyNow();
    if (server->listed.hasInvalidColdTime)
        logIgnored(*server, server->listed.incarnation,
                   "its entry's cold time is not a number within 10 minutes", now);
    if (server->isCold(now) != server->wasCold)
        logBelief(*server, coldSourceText(server->coldPeriod.source()), now);
}

void ColdServerWatch::tick()
{
    const Instant now = steadyNow();
    int cold = 0;
    for (const auto &[name, known] : m_servers.servers()) {
        const bool isCold = known.isCold(now);
        cold += isCold ? 1 : 0;
        // A server also becomes cold here when a new configuration states the rate of its service.
        if (isCold != known.wasCold)
            logBelief(*m_servers.find(name),
                      isCold ? coldSourceText(known.coldPeriod.source()) : "time", now);
    }
    Metrics::setGauge("cold_servers", cold);
}

void ColdServerWatch::logIgnored(ServerState &server, Incarnation incarnation, const char *reason,
                                 Instant now)
{
    Metrics::incrementCounter("cold_ignored");
    if (now < server.nextColdProblemLogAt)
        return;
    server.nextColdProblemLogAt = now + ignoredLogInterval;
    logNotable("server_signal_ignored",
               {{"server", server.listed.id},
                {"asked", incarnation},
                {"listed", server.listed.incarnation},
                {"reason", reason}});
}

// Services without a rate for cold servers treat them like any other.
void ColdServerWatch::logBelief(ServerState &server, const std::string &source, Instant now)
{
    const bool isCold = server.isCold(now);
    const bool isNewlyCold = isCold && !server.wasCold;
    if (!isCold && !server.wasCold)
        return;
    server.wasCold = isCold;
    logNotable("server",
               {{"server", server.listed.id},
                {"incarnation", server.listed.incarnation},
                {"state", isCold ? "cold" : "warm"},
                {"for_ms", server.coldPeriod.remaining(now)},
                {"source", source}});
    Metrics::incrementCounter("server_signals", {{"signal", isCold ? "cold" : "warm"}});
    if (isNewlyCold && m_hooks.onCold)
        m_hooks.onCold(server.listed.id);
}

} // namespace quetzalyoke
