#include "Apps/Entry/EntryState.h"

#include "Adapters/Metrics.h"
#include "Adapters/Process.h"
#include "Adapters/StructuredLog.h"

namespace quetzalyoke {

namespace {

// Share of the configured retries that is used, so that gateways with differing time windows
// together stay within the bounds.
constexpr double usedShareOfRetries = 0.75;

// A healthy server accepts a connection at once. A server that is gone delays the request by the
// connect timeout.
constexpr HttpClientConnection::Limits backendLimits{std::chrono::milliseconds(400),
                                                     std::chrono::milliseconds(3000)};

ReplicaController::Settings controllerSettings(const EntrySettings &settings)
{
    ReplicaController::Settings controller;
    controller.prefillTokensPerMs = settings.prefillTokensPerMs;
    return controller;
}

ServerChooser::Settings chooserSettings(const EntrySettings &settings)
{
    ServerChooser::Settings chooser;
    chooser.prefillTokensPerMs = settings.prefillTokensPerMs;
    return chooser;
}

// Callers choose the names of adapters; without peers nothing is sent.
constexpr std::size_t maxUnsentKeys = 1024;

AdmissionPolicy::Settings admissionSettings(const EntrySettings &settings)
{
    AdmissionPolicy::Settings admission;
    admission.prefillTokensPerMs = settings.prefillTokensPerMs;
    return admission;
}

RetryAfterEstimator::Settings estimatorSettings(const EntrySettings &settings)
{
    RetryAfterEstimator::Settings estimator;
    estimator.prefillTokensPerMs = settings.prefillTokensPerMs;
    return estimator;
}

} // namespace

EntryState::EntryState(const EntrySettings &entrySettings, asio::io_context &eventLoop,
                       const ServingProtocol &servingProtocol, EntryPlatform &entryPlatform)
    : settings(entrySettings), loop(eventLoop), protocol(servingProtocol), platform(entryPlatform),
      servers(entrySettings.entryExpiryGrace), coldServers(servers,
                                                           {[this](const ServerName &server) {
                                                                if (onRequestLimitStated)
                                                                    onRequestLimitStated(server);
                                                            },
                                                            [this](const ServerName &server) {
                                                                unsentLimitChanges.insert(server);
                                                                if (onServerSignal)
                                                                    onServerSignal();
                                                            }}),
      chooser(chooserSettings(entrySettings), entrySettings.zone),
      replicaController(controllerSettings(entrySettings)),
      admissionPolicy(admissionSettings(entrySettings)),
      retryAfterEstimator(estimatorSettings(entrySettings)), pool(eventLoop, backendLimits),
      crashDetector(entrySettings.instance), crashCheck(eventLoop),
      streamVersions(StreamVersions::Settings()),
      serviceVersions(StreamVersions::Settings().retention),
      listConfirmation(entryPlatform,
                       {steadyNow,
                        [this](Instant time) {
                            return isListConfirmedByPeers && isListConfirmedByPeers(time);
                        }}),
      m_random(std::hash<std::string>()(entrySettings.instance.text())
               ^ static_cast<std::uint64_t>(Process::incarnation().count()))
{ }

bool EntryState::mayHaveSeveralVersions(const ServiceName &service) const
{
    const Instant now = steadyNow();
    return isVersionListUncertain(now) || serviceVersions.hasSeveral(service, now);
}

bool EntryState::mayHaveSeveralVersions() const
{
    const Instant now = steadyNow();
    return isVersionListUncertain(now) || serviceVersions.hasSeveral(now);
}

bool EntryState::isVersionListUncertain(Instant now) const
{
    return !hasReadVersions || !isListCurrent(now);
}

bool EntryState::isListCurrent(Instant now) const
{
    return now >= listUncertainUntil && (platform.isReachable() || hearsPeers);
}

bool EntryState::mayBeColdUnnoticed(const ServiceSpec &service) const
{
    return service.engine && service.coldRequestsPerSecond > 0 && !isListCurrent(steadyNow());
}

// Requests may be handled before the timer that notices the suspension.
bool EntryState::mustAwaitList(const ServiceSpec &service) const
{
    if (service.coldRequestsPerSecond <= 0)
        return false;
    const Instant now = steadyNow();
    const bool isTickLate = lastTickAt != Instant() && now - lastTickAt >= stallThreshold;
    return isTickLate || now < m_awaitsListUntil;
}

void EntryState::awaitList(Instant until)
{
    m_awaitsListUntil = until;
    listConfirmation.request([this](bool isConfirmed) {
        if (!isConfirmed)
            return;
        m_awaitsListUntil = Instant();
        waitQueue.retryDispatches();
    });
}

void EntryState::setGatewayCount(std::size_t gateways, Duration silenceTimeout)
{
    m_gateways = std::max<std::size_t>(1, gateways);
    quotas.setGatewayCount(m_gateways, silenceTimeout);
    for (auto &[service, budget] : m_retryBudgets)
        budget.setReserve(retryReserve());
}

double EntryState::retryReserve() const
{
    return usedShareOfRetries * settings.retryReserve / static_cast<double>(m_gateways);
}

RetryBudget &EntryState::retryBudget(const ServiceName &service)
{
    return m_retryBudgets
        .try_emplace(service, usedShareOfRetries * settings.retriesPerRequest, retryReserve())
        .first->second;
}

void EntryState::recordPromptTokens(const ModelName &model, std::int64_t tokens)
{
    if (!replicaController.isConfigured(model))
        return;
    replicaController.recordPromptTokens(model, tokens, steadyNow());
    unsentDemand[model] += tokens;
}

void EntryState::recordWaitingRequest(const ModelName &model, const AdapterName &adapter)
{
    if (!replicaController.isConfigured(model) || unsentNeeds.size() >= maxUnsentKeys)
        return;
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
                                   const BackendResponseInfo &responseInfo, Instant sentAt)
{
    if (responseInfo.hasInvalidBackoff) {
        logNotable("server_signal_ignored",
                   {{"server", server}, {"reason", "its pause is not a number of seconds"}});
    }
    if (responseInfo.hasInvalidRequestLimit) {
        logNotable("server_signal_ignored",
                   {{"server", server}, {"reason", "its limit is not a number of requests"}});
    }
    const ServerState *known = servers.find(server);
    const bool isListed = known && known->listed.incarnation == incarnation;
    if (isListed)
        applyRequestLimit(server, responseInfo, sentAt);
    coldServers.applyResponse(server, incarnation, responseInfo, sentAt);
    if (!responseInfo.isLeaving && !responseInfo.backoff
        && (isListed || !responseInfo.requestLimit))
        return;
    if (known && !isListed) {
        logNotable("server_signal_ignored",
                   {{"server", server},
                    {"asked", incarnation},
                    {"listed", known->listed.incarnation},
                    {"reason", "another incarnation is listed"}});
        return;
    }
    const bool isNewlyLeaving
        = responseInfo.isLeaving && servers.recordLeaving(server, incarnation);
    const Duration pause = responseInfo.backoff.value_or(Milliseconds(0));
    const bool isNewPause
        = pause.count() > 0 && servers.recordPause(server, incarnation, steadyNow() + pause);
    if (!isNewlyLeaving && !isNewPause)
        return;
    if (isNewlyLeaving)
        unsentLeavingServers.push_back({server, incarnation});
    logNotable("server",
               {{"server", server},
                {"incarnation", incarnation},
                {"state", isNewlyLeaving ? "leaving" : "paused"},
                {"for_ms", pause},
                {"source", "answer"}});
    Metrics::incrementCounter("server_signals",
                              {{"signal", isNewlyLeaving ? "leaving" : "paused"}});
    if (onServerSignal)
        onServerSignal();
}

void EntryState::applyRequestLimit(const ServerName &server,
                                   const BackendResponseInfo &responseInfo, Instant sentAt)
{
    if (!responseInfo.requestLimit && !responseInfo.mayEndRequestLimit)
        return;
    ServerState *known = servers.find(server);
    const bool wasLimited = known->requestLimit.limit().has_value();
    if (!known->requestLimit.recordResponse(responseInfo.requestLimit, sentAt, steadyNow()))
        return;
    onRequestLimitChanged(*known, "answer");
    // Peers learn a changed limit from the next regular message.
    if (wasLimited == known->requestLimit.limit().has_value())
        return;
    unsentLimitChanges.insert(server);
    if (onServerSignal)
        onServerSignal();
}

void EntryState::applyPeerRequestLimit(const ServerName &server, Incarnation incarnation,
                                       std::optional<RequestRate> limit, std::int64_t version,
                                       const std::string &peer)
{
    ServerState *known = servers.find(server);
    if (!known || known->listed.incarnation != incarnation
        || !known->requestLimit.applyPeerLimit(limit, version, steadyNow()))
        return;
    onRequestLimitChanged(*known, peer);
}

RequestPermits::Number EntryState::requestPermit(const ServerName &server)
{
    if (onPermitNeeded)
        return onPermitNeeded(server);
    useOwnShare(*servers.find(server), "no_issuer");
    return 0;
}

void EntryState::useOwnShare(ServerState &server, const char *reason)
{
    const Instant now = steadyNow();
    server.permits.useOwnShare(server.ownShareLimit(now), server.limitBeganAt(now), m_gateways,
                               random(), now);
    logNotable("permit_own_share",
               {{"server", server.listed.id}, {"reason", reason}, {"gateways", m_gateways}});
    Metrics::incrementCounter("permits", {{"outcome", "own_share"}});
}

void EntryState::onRequestLimitChanged(const ServerState &server, const std::string &source)
{
    const auto &limit = server.requestLimit.limit();
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%g", limit ? limit->perSecond() : 0);
    logNotable("server",
               {{"server", server.listed.id},
                {"incarnation", server.listed.incarnation},
                {"state", limit ? "limited" : "unlimited"},
                {"requests_per_s", text.data()},
                {"limit_version", server.requestLimit.version()},
                {"source", source}});
    Metrics::incrementCounter("server_signals", {{"signal", limit ? "limited" : "unlimited"}});
    if (limit && onRequestLimitStated)
        onRequestLimitStated(server.listed.id);
}

void EntryState::recordAdapterUse(const ServerName &server, const ModelName &model,
                                  const AdapterName &adapter, Duration busy)
{
    if (!replicaController.isConfigured(model) || unsentAdapterUses.size() >= maxUnsentKeys)
        return;
    replicaController.recordAdapterUse(server, model, adapter, steadyNow() + busy);
    Duration &longest = unsentAdapterUses[{server, model, adapter}];
    longest = std::max(longest, busy);
}

} // namespace quetzalyoke
