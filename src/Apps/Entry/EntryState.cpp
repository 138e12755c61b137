#include "Apps/Entry/EntryState.h"

#include "Adapters/DecisionLog.h"
#include "Adapters/Metrics.h"
#include "Adapters/Process.h"

namespace quetzalyoke {

namespace {

// Of what the bounds allow, so that gateways whose windows differ stay within them together.
constexpr double usedShareOfRetries = 0.75;

// A healthy server accepts at once; a server that is gone costs the request this much.
constexpr ClientConnection::Limits backendLimits{std::chrono::milliseconds(400),
                                                 std::chrono::milliseconds(3000)};

EngineDirector::Settings directorSettings(const EntrySettings &settings)
{
    EngineDirector::Settings director;
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
                       const ServingDialect &servingDialect, EntryPlatform &entryPlatform)
    : settings(entrySettings), loop(eventLoop), dialect(servingDialect), platform(entryPlatform),
      book(entrySettings.lapseGrace), chooser(chooserSettings(entrySettings), entrySettings.zone),
      director(directorSettings(entrySettings)), admission(AdmissionPolicy::Settings()),
      pool(eventLoop, backendLimits),
      m_random(std::hash<std::string>()(entrySettings.instance.text())
               ^ static_cast<std::uint64_t>(Process::incarnation().count()))
{ }

void EntryState::setGateways(std::size_t gateways, Duration silence)
{
    m_gateways = std::max<std::size_t>(1, gateways);
    quotas.setGateways(m_gateways, silence);
    for (auto &[service, budget] : m_retries)
        budget.setReserve(retryReserve());
}

double EntryState::retryReserve() const
{
    return usedShareOfRetries * settings.retryReserve / static_cast<double>(m_gateways);
}

RetryBudget &EntryState::retries(const ServiceName &service)
{
    return m_retries.try_emplace(service, usedShareOfRetries * settings.retryShare, retryReserve())
        .first->second;
}

void EntryState::noteDemand(const ModelName &model, std::int64_t tokens)
{
    director.noteDemand(model, tokens, loopNow());
    demandNews[model] += tokens;
}

void EntryState::noteNeed(const ModelName &model, const AdapterName &adapter)
{
    director.noteNeed(model, adapter, loopNow());
    if (wantedNews.emplace(ServerName(), model, adapter).second && onNeed)
        onNeed();
}

void EntryState::noteRelief(const ServerName &server, const ModelName &model,
                            const AdapterName &adapter)
{
    director.noteRelief(server, model, adapter, loopNow());
    if (wantedNews.emplace(server, model, adapter).second && onNeed)
        onNeed();
}

void EntryState::takeServerSignal(const ServerName &server, Incarnation incarnation,
                                  const BackendVerdict &verdict)
{
    if (verdict.hasBadPause) {
        logNotable("server_signal_ignored",
                   {{"server", server}, {"reason", "its pause is no number of seconds"}});
    }
    if (!verdict.isLeaving && !verdict.pause)
        return;
    const ServerState *known = book.find(server);
    if (known && known->listed.incarnation != incarnation) {
        logNotable("server_signal_ignored",
                   {{"server", server},
                    {"asked", incarnation},
                    {"listed", known->listed.incarnation},
                    {"reason", "another incarnation is listed"}});
        return;
    }
    const bool isDeparture = verdict.isLeaving && book.noteLeaving(server, incarnation);
    const Duration pause = verdict.pause.value_or(Milliseconds(0));
    const bool isPause
        = pause.count() > 0 && book.notePause(server, incarnation, loopNow() + pause);
    if (!isDeparture && !isPause)
        return;
    if (isDeparture)
        departureNews.push_back({server, incarnation});
    logNotable("server",
               {{"server", server},
                {"incarnation", incarnation},
                {"state", isDeparture ? "leaving" : "paused"},
                {"for_ms", pause},
                {"source", "answer"}});
    Metrics::count("server_signals", {{"signal", isDeparture ? "leaving" : "paused"}});
    if (onServerSignal)
        onServerSignal();
}

void EntryState::noteUse(const ServerName &server, const ModelName &model,
                         const AdapterName &adapter, Duration busy)
{
    director.noteUse(server, model, adapter, loopNow() + busy);
    Duration &longest = usedNews[{server, model, adapter}];
    longest = std::max(longest, busy);
}

} // namespace quetzalyoke
