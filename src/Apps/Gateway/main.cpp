#include "Adapters/HttpPlatformClient.h"
#include "Adapters/HttpServer.h"
#include "Adapters/Process.h"
#include "Adapters/ProcessTimeline.h"
#include "Adapters/ReadyFile.h"
#include "Adapters/ThriftServer.h"
#include "Apps/Gateway/AccountLimiter.h"
#include "Apps/Gateway/AgentRegistry.h"
#include "Apps/Gateway/CallerApi.h"
#include "Apps/Gateway/GatewaySettings.h"
#include "Apps/Gateway/GatewayState.h"
#include "Apps/Gateway/GatewayThriftHandler.h"
#include "Apps/Gateway/InstanceListPoller.h"
#include "Apps/Gateway/MembershipManager.h"
#include "Apps/Gateway/OperatorApi.h"
#include "Apps/Gateway/PeerExchange.h"
#include "Apps/Gateway/PlacementCoordinator.h"
#include "Apps/Gateway/RequestForwarder.h"
#include "Apps/Gateway/StatePoller.h"
#include "Apps/Gateway/TimelineCollector.h"

#include <glog/logging.h>

using namespace quetzalyoke;

namespace {

constexpr std::chrono::milliseconds drainPoll{20};

void waitUntilIdle(const CallerApi &callers, std::chrono::milliseconds limit)
{
    const Instant end = Process::now() + limit;
    while (callers.inFlight() > 0 && Process::now() < end && !Process::isForcedStopRequested())
        std::this_thread::sleep_for(drainPoll);
}

void waitForGrace(std::chrono::milliseconds grace)
{
    const Instant end = Process::now() + grace;
    while (Process::now() < end && !Process::isForcedStopRequested())
        std::this_thread::sleep_for(drainPoll);
}

MemberRow selfRow(const GatewaySettings &settings)
{
    MemberRow row;
    row.instance = settings.instance;
    row.zone = settings.zone;
    row.incarnation = Process::incarnation();
    return row;
}

int serve(const GatewaySettings &settings)
{
    ProcessTimeline::start(settings.instance);
    HttpPlatformClient platform(settings.platformAddress, settings.platformTimeout);
    const MemberRow self = selfRow(settings);
    GatewayState state(self, settings.syncLimits());
    AccountLimiter limiter(self.instance, self.incarnation, settings.sharePolicy);
    state.setListener([&limiter](const auto &change) { limiter.onStateChanged(change); });
    SharedCrashingRequestTracker crashes;
    PeerExchange peers(settings, state, limiter, crashes);
    AgentRegistry fleet(settings);
    RequestForwarder relay(settings, fleet, crashes);
    IdempotencyStore idempotency(platform, fleet);
    StatePoller sync(settings, platform, state,
                     [&peers](Version version) { return peers.configurationText(version); });
    peers.setNewerStateHook([&sync] { sync.pollNow(); });
    MembershipManager member(settings, platform, state, sync, limiter, peers);
    PlacementCoordinator planner(settings, platform, state);
    InstanceListPoller instances(platform, settings.instanceListInterval, [&](const auto &leaving) {
        fleet.setLeavingInstances(leaving);
        planner.setLeavingInstances(leaving);
    });
    CallerApi callers(settings, state, relay, limiter, idempotency);
    TimelineCollector timeline(settings, fleet, [&peers] { return peers.peerThriftAddresses(); });
    OperatorApi operators(settings, platform, state, sync, fleet, member, timeline);

    const GatewayThriftContext parts{settings, state, fleet, crashes, planner, peers};
    ThriftServer door(settings.thriftListen, makeGatewayProcessorFactory(parts),
                      settings.maxThriftConnections);
    HttpServerLimits httpLimits;
    httpLimits.connections = settings.maxCallerConnections;
    httpLimits.bodyBytes = settings.maxBodyBytes;
    HttpServer http(httpLimits);
    callers.addRoutes(http.routes());
    operators.addRoutes(http.routes());
    http.addHealthRoutes([&] {
        return state.configuration() && state.isFresh(Process::now())
            && !Process::isStopRequested();
    });
    http.listen(settings.httpListen);
    const Address httpAddress{settings.httpListen.host, http.port()};
    const Address doorAddress{settings.thriftListen.host, door.port()};
    peers.setOwnThriftAddress(doorAddress.text());
    member.start(doorAddress.text(), httpAddress.text());
    writeReadyFile(settings.readyFile,
                   {{"http", httpAddress.text()}, {"door", doorAddress.text()}});
    LOG(INFO) << "event=started instance=" << settings.instance.text()
              << " http=" << httpAddress.text() << " door=" << doorAddress.text();

    while (!Process::waitForStop(std::chrono::seconds(1)))
        continue;
    // Not ready at once, but requests are served until callers' balancer has noticed.
    ProcessTimeline::record(TimelineEventKind::Draining);
    member.beginLeaving();
    LOG(INFO) << "event=draining in_flight=" << callers.inFlight();
    waitForGrace(settings.shutdownDelay);
    callers.stopAccepting();
    waitUntilIdle(callers, settings.drainTimeout);
    http.stop();
    member.leave();
    door.stop();
    planner.stop();
    instances.stop();
    sync.stop();
    idempotency.stop();
    LOG(INFO) << "event=stopped";
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    GatewaySettings settings;
    return Process::run(
        argc, argv, "quetzalyoke-gateway",
        [&settings](const IniDocument &document, Problems &problems) {
            settings = GatewaySettings::read(document, problems);
        },
        [&settings] { return serve(settings); });
}
