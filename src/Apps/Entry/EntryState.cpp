#include "Apps/Entry/EntryState.h"

#include "Adapters/Metrics.h"
#include "Adapters/Process.h"
#include "Adapters/StructuredLog.h"

namespace quetzalyoke {

namespace {

// Of what the bounds allow, so that gateways whose windows differ stay within them together.
constexpr double usedShareOfRetries = 0.75;

// A healthy server accepts at once; a server that is gone costs the request this much.
constexpr HttpClientConnection::Limits backendLimits{std::chrono::milliseconds(400),
                                                     std::chrono::milliseconds(3000)};

ReplicaController::Settings directorSettings(const EntrySettings &settings)
{
    ReplicaController::Settings director;
    director.prefillTokensPerMs = settings.prefillTokensPerMs;
    return director;
}

ServerChooser::Settings chooserSettings(const EntrySettings &settings)
{
    ServerChooser::Settings chooser;
    chooser.prefillTokensPerMs = settings.prefillTokensPerMs;
    return chooser;
}

} // namespace

EntryState::EntryState(const EntrySettings &entrySettings, asio::io_context &eventLoop,
                       const ServingProtocol &servingDialect, EntryPlatform &entryPlatform)
    : settings(entrySettings), loop(eventLoop), protocol(servingDialect), platform(entryPlatform),
      servers(entrySettings.entryExpiryGrace),
      chooser(chooserSettings(entrySettings), entrySettings.zone),
      replicaController(directorSettings(entrySettings)),
      admissionPolicy(AdmissionPolicy::Settings()), pool(eventLoop, backendLimits),
      m_random(std::hash<std::string>()(entrySettings.instance.text())
               ^ static_cast<std::uint64_t>(Process::incarnation().count()))
{ }

void EntryState::setGatewayCount(std::size_t gateways, Duration silence)
{
    m_gateways = std::max<std::size_t>(1, gateways);
    quotas.setGatewayCount(m_gateways, silence);
    for (auto &[service, budget] : m_retries)
        budget.setReserve(retryReserve());
}

double EntryState::retryReserve() const
{
    return usedShareOfRetries * settings.retryReserve / static_cast<double>(m_gateways);
}

RetryBudget &EntryState::retryBudget(const ServiceName &service)
{
    return m_retries
        .try_emplace(service, usedShareOfRetries * settings.retriesPerRequest, retryReserve())
        .first->second;
}

void EntryState::recordPromptTokens(const ModelName &model, std::int64_t tokens)
{
    replicaController.recordPromptTokens(model, tokens, steadyNow());
    unsentDemand[model] += tokens;
}

void EntryState::recordWaitingRequest(const ModelName &model, const AdapterName &adapter)
{
    replicaController.recordWaitingRequest(model, adapter, steadyNow());
    if (unsentNeeds.emplace(ServerName(), model, adapter).second && onRequestWaiting)
        onRequestWaiting();
}

void EntryState::proposeAdapterReplica(const ServerName &server, const ModelName &model,
                                       const AdapterName &adapter)
{
    replicaController.proposeAdapterReplica(server, model, adapter, steadyNow());
    if (unsentNeeds.emplace(server, model, adapter).second && onRequestWaiting)
        onRequestWaiting();
}

void EntryState::applyServerSignal(const ServerName &server, Incarnation incarnation,
                                   const BackendResponseInfo &verdict)
{
    if (verdict.hasInvalidBackoff) {
        logNotable("server_signal_ignored",
                   {{"server", server}, {"reason", "its pause is no number of seconds"}});
    }
    if (!verdict.isLeaving && !verdict.backoff)
        return;
    const ServerState *known = servers.find(server);
    if (known && known->listed.incarnation != incarnation) {
        logNotable("server_signal_ignored",
                   {{"server", server},
                    {"asked", incarnation},
                    {"listed", known->listed.incarnation},
                    {"reason", "another incarnation is listed"}});
        return;
    }
    const bool isDeparture = verdict.isLeaving && servers.recordLeaving(server, incarnation);
    const Duration pause = verdict.backoff.value_or(Milliseconds(0));
    const bool isPause
        = pause.count() > 0 && servers.recordPause(server, incarnation, steadyNow() + pause);
    if (!isDeparture && !isPause)
        return;
    if (isDeparture)
        unsentLeavingServers.push_back({server, incarnation});
    logNotable("server",
               {{"server", server},
                {"incarnation", incarnation},
                {"state", isDeparture ? "leaving" : "paused"},
                {"for_ms", pause},
                {"source", "answer"}});
    Metrics::incrementCounter("server_signals", {{"signal", isDeparture ? "leaving" : "paused"}});
    if (onServerSignal)
        onServerSignal();
}

void EntryState::recordAdapterUse(const ServerName &server, const ModelName &model,
                                  const AdapterName &adapter, Duration busy)
{
    replicaController.recordAdapterUse(server, model, adapter, steadyNow() + busy);
    Duration &longest = unsentAdapterUses[{server, model, adapter}];
    longest = std::max(longest, busy);
}

} // namespace quetzalyoke
