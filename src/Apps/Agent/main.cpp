#include "Adapters/HttpServer.h"
#include "Adapters/Process.h"
#include "Adapters/ProcessTimeline.h"
#include "Adapters/ReadyFile.h"
#include "Adapters/ThriftServer.h"
#include "Apps/Agent/AgentReporter.h"
#include "Apps/Agent/AgentSettings.h"
#include "Apps/Agent/AgentThriftHandler.h"
#include "Apps/Agent/AttemptWorkerPool.h"
#include "Apps/Agent/BackendHealth.h"
#include "Apps/Agent/EngineController.h"

#include <glog/logging.h>

using namespace quetzalyoke;

namespace {

constexpr int maxHealthConnections = 8;
constexpr std::chrono::milliseconds drainPollInterval{20};
// How long a crash or a shutdown waits until the gateways have been told of it.
constexpr std::chrono::milliseconds urgentReportTimeout{200};

// Waits until every attempt has ended and its response was fetched, the limit has passed, or a
// second signal has arrived.
void waitUntilIdle(const AttemptTable &table, std::chrono::milliseconds limit)
{
    const Instant end = Process::now() + limit;
    while (!table.isIdle() && Process::now() < end && !Process::isForcedStopRequested())
        std::this_thread::sleep_for(drainPollInterval);
}

int serve(const AgentSettings &settings)
{
    ProcessTimeline::start(settings.instance);
    const AttemptTable::Limits tableLimits{static_cast<std::size_t>(settings.queueLength),
                                           settings.bufferBytes, settings.finishedRetention};
    AttemptTable table(tableLimits, attemptQueueFactory(settings.queuePolicy)());
    ThriftServer thriftServer(settings.thriftListen,
                              makeAgentProcessorFactory(table, settings.fleetSecret),
                              settings.maxConnections);
    const Address thriftAddress{settings.thriftListen.host, thriftServer.port()};
    std::optional<EngineController> engine;
    if (settings.isEngine)
        engine.emplace(settings, table);
    const std::string advertised
        = settings.advertisedAddress.empty() ? thriftAddress.text() : settings.advertisedAddress;
    AgentReporter reporter(settings, advertised, table, engine ? &*engine : nullptr);
    BackendHealth health(settings.backend, [&](bool down) {
        table.setBackendDown(down);
        LOG(WARNING) << "event=" << (down ? "backend_down" : "backend_up");
        reporter.reportAndWait(urgentReportTimeout);
    });
    AttemptWorkerPool workers(settings, table, health,
                              [&reporter] { reporter.reportAndWait(urgentReportTimeout); });

    HttpServerLimits limits;
    limits.connections = maxHealthConnections;
    HttpServer http(limits);
    http.addHealthRoutes([&] {
        return reporter.isAnyGatewayReachable() && !table.isDraining() && !table.isBackendDown();
    });
    http.listen(settings.httpListen);
    const Address httpAddress{settings.httpListen.host, http.port()};
    writeReadyFile(settings.readyFile,
                   {{"door", thriftAddress.text()}, {"http", httpAddress.text()}});
    LOG(INFO) << "event=started instance=" << settings.instance.text()
              << " door=" << thriftAddress.text() << " http=" << httpAddress.text();

    while (!Process::waitForStop(std::chrono::seconds(1)))
        continue;
    ProcessTimeline::record(TimelineEventKind::Draining);
    LOG(INFO) << "event=draining queued=" << table.queuedCount()
              << " running=" << table.runningCount();
    table.startDraining();
    reporter.reportAndWait(urgentReportTimeout);
    waitUntilIdle(table, settings.drainTimeout);
    workers.stop();
    health.stop();
    reporter.stop();
    if (engine)
        engine->stop();
    thriftServer.stop();
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
