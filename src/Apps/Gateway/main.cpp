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

constexpr std::chrono::milliseconds drainPollInterval{20};

void waitUntilIdle(const CallerApi &callerApi, std::chrono::milliseconds timeout)
{
    const Instant deadline = Process::now() + timeout;
    while (callerApi.inFlight() > 0 && Process::now() < deadline
           && !Process::isForcedStopRequested())
        std::this_thread::sleep_for(drainPollInterval);
}

void waitForShutdownDelay(std::chrono::milliseconds delay)
{
    const Instant deadline = Process::now() + delay;
    while (Process::now() < deadline && !Process::isForcedStopRequested())
        std::this_thread::sleep_for(drainPollInterval);
}

MemberRow makeSelfRow(const GatewaySettings &settings)
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
    const MemberRow self = makeSelfRow(settings);
    GatewayState state(self, settings.syncLimits());
    AccountLimiter limiter(self.instance, self.incarnation, settings.sharePolicy);
    state.setListener([&limiter](const auto &change) { limiter.onStateChanged(change); });
    SharedCrashingRequestTracker crashes;
    PeerExchange peers(settings, state, limiter, crashes);
    AgentRegistry agentRegistry(settings);
    RequestForwarder forwarder(settings, agentRegistry, crashes);
    IdempotencyStore idempotency(platform, agentRegistry);
    StatePoller statePoller(settings, platform, state,
                            [&peers](Version version) { return peers.configurationText(version); });
    peers.setNewerStateHook([&statePoller] { statePoller.pollNow(); });
    MembershipManager membership(settings, platform, state, statePoller, limiter, peers);
    PlacementCoordinator placement(settings, platform, state);
    InstanceListPoller instanceListPoller(platform, settings.instanceListInterval,
                                          [&](const auto &leaving) {
                                              agentRegistry.setLeavingInstances(leaving);
                                              placement.setLeavingInstances(leaving);
                                          });
    CallerApi callerApi(settings, state, forwarder, limiter, idempotency);
    TimelineCollector timeline(settings, agentRegistry,
                               [&peers] { return peers.peerThriftAddresses(); });
    OperatorApi operatorApi(settings, platform, state, statePoller, agentRegistry, membership,
                            timeline);

    const GatewayThriftContext context{settings, state, agentRegistry, crashes, placement, peers};
    ThriftServer thriftServer(settings.thriftListen, makeGatewayProcessorFactory(context),
                              settings.maxThriftConnections);
    HttpServerLimits httpLimits;
    httpLimits.connections = settings.maxCallerConnections;
    httpLimits.bodyBytes = settings.maxBodyBytes;
    HttpServer httpServer(httpLimits);
    callerApi.addRoutes(httpServer.routes());
    operatorApi.addRoutes(httpServer.routes());
    httpServer.addHealthRoutes([&] {
        return state.configuration() && state.isFresh(Process::now())
            && !Process::isStopRequested();
    });
    httpServer.listen(settings.httpListen);
    const Address httpAddress{settings.httpListen.host, httpServer.port()};
    const Address thriftAddress{settings.thriftListen.host, thriftServer.port()};
    peers.setOwnThriftAddress(thriftAddress.text());
    membership.start(thriftAddress.text(), httpAddress.text());
    writeReadyFile(settings.readyFile,
                   {{"http", httpAddress.text()}, {"door", thriftAddress.text()}});
    LOG(INFO) << "event=started instance=" << settings.instance.text()
              << " http=" << httpAddress.text() << " door=" << thriftAddress.text();

    while (!Process::waitForStop(std::chrono::seconds(1)))
        continue;
    // The gateway reports not ready at once, but serves requests until the callers' load balancer
    // has noticed.
    ProcessTimeline::record(TimelineEventKind::Draining);
    membership.beginLeaving();
    LOG(INFO) << "event=draining in_flight=" << callerApi.inFlight();
    waitForShutdownDelay(settings.shutdownDelay);
    callerApi.stopAccepting();
    waitUntilIdle(callerApi, settings.drainTimeout);
    httpServer.stop();
    membership.leave();
    thriftServer.stop();
    placement.stop();
    instanceListPoller.stop();
    statePoller.stop();
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
