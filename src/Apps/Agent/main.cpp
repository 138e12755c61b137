#include "Adapters/EventLog.h"
#include "Adapters/HttpServer.h"
#include "Adapters/Process.h"
#include "Adapters/ReadyFile.h"
#include "Adapters/ThriftServer.h"
#include "Apps/Agent/AgentDoor.h"
#include "Apps/Agent/AgentSettings.h"
#include "Apps/Agent/BackendHealth.h"
#include "Apps/Agent/Dispatcher.h"
#include "Apps/Agent/EngineRunner.h"
#include "Apps/Agent/Reporter.h"

#include <glog/logging.h>

using namespace quetzalyoke;

namespace {

constexpr int healthConnections = 8;
constexpr std::chrono::milliseconds drainPoll{20};
// Gateways learn of a crash or of leaving before anything else goes on, but no longer than this.
constexpr std::chrono::milliseconds urgentReportLimit{200};

// Waits until every attempt has run and its answer was fetched, the limit has passed, or a
// second signal came.
void waitUntilIdle(const AttemptTable &table, std::chrono::milliseconds limit)
{
    const Instant end = Process::now() + limit;
    while (!table.isIdle() && Process::now() < end && !Process::stopForced())
        std::this_thread::sleep_for(drainPoll);
}

int serve(const AgentSettings &settings)
{
    EventLog::start(settings.instance);
    const AttemptTable::Limits tableLimits{static_cast<std::size_t>(settings.queueLength),
                                           settings.bufferBytes, settings.keepFinished};
    AttemptTable table(tableLimits, requestQueueFactory(settings.queuePolicy)());
    ThriftServer door(settings.listen, makeAgentDoorFactory(table, settings.fleetSecret),
                      settings.connections);
    const Address doorAddress{settings.listen.host, door.port()};
    std::optional<EngineRunner> engine;
    if (settings.engine)
        engine.emplace(settings, table);
    const std::string advertised
        = settings.advertise.empty() ? doorAddress.text() : settings.advertise;
    Reporter reporter(settings, advertised, table, engine ? &*engine : nullptr);
    BackendHealth health(settings.backend, [&](bool down) {
        table.setBackendDown(down);
        LOG(WARNING) << "event=" << (down ? "backend_down" : "backend_up");
        reporter.reportNow(urgentReportLimit);
    });
    Dispatcher dispatcher(settings, table, health,
                          [&reporter] { reporter.reportNow(urgentReportLimit); });

    HttpServerLimits limits;
    limits.connections = healthConnections;
    HttpServer http(limits);
    http.addHealthRoutes(
        [&] { return reporter.isKnown() && !table.isDraining() && !table.isBackendDown(); });
    http.listen(settings.httpListen);
    const Address httpAddress{settings.httpListen.host, http.port()};
    writeReadyFile(settings.readyFile,
                   {{"door", doorAddress.text()}, {"http", httpAddress.text()}});
    LOG(INFO) << "event=started instance=" << settings.instance.text()
              << " door=" << doorAddress.text() << " http=" << httpAddress.text();

    while (!Process::waitForStop(std::chrono::seconds(1)))
        continue;
    EventLog::record(EventKind::Draining);
    LOG(INFO) << "event=draining queued=" << table.queued() << " running=" << table.running();
    table.drain();
    reporter.reportNow(urgentReportLimit);
    waitUntilIdle(table, settings.drainLimit);
    dispatcher.stop();
    health.stop();
    reporter.stop();
    if (engine)
        engine->stop();
    door.stop();
    http.stop();
    LOG(INFO) << "event=stopped";
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    AgentSettings settings;
    return Process::run(
        argc, argv, "quetzalyoke-agent",
        [&settings](const IniDocument &document, Problems &problems) {
            settings = AgentSettings::read(document, problems);
        },
        [&settings] { return serve(settings); });
}
