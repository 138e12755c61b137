#include "Adapters/EventLog.h"
#include "Adapters/HttpPlatform.h"
#include "Adapters/HttpServer.h"
#include "Adapters/Process.h"
#include "Adapters/ReadyFile.h"
#include "Adapters/ThriftServer.h"
#include "Apps/Gateway/AccountLimiter.h"
#include "Apps/Gateway/CallerApi.h"
#include "Apps/Gateway/Fleet.h"
#include "Apps/Gateway/GatewayDoor.h"
#include "Apps/Gateway/GatewaySettings.h"
#include "Apps/Gateway/InstanceWatch.h"
#include "Apps/Gateway/MemberSync.h"
#include "Apps/Gateway/OperatorApi.h"
#include "Apps/Gateway/PeerExchange.h"
#include "Apps/Gateway/Planner.h"
#include "Apps/Gateway/Relay.h"
#include "Apps/Gateway/SharedState.h"
#include "Apps/Gateway/StateSync.h"
#include "Apps/Gateway/TimelineCollector.h"

#include <glog/logging.h>

using namespace quetzalyoke;

namespace {

constexpr std::chrono::milliseconds drainPoll{20};

void waitUntilIdle(const CallerApi &callers, std::chrono::milliseconds limit)
{
    const Instant end = Process::now() + limit;
    while (callers.inFlight() > 0 && Process::now() < end && !Process::stopForced())
        std::this_thread::sleep_for(drainPoll);
}

void waitForGrace(std::chrono::milliseconds grace)
{
    const Instant end = Process::now() + grace;
    while (Process::now() < end && !Process::stopForced())
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
    EventLog::start(settings.instance);
    HttpPlatform platform(settings.platform, settings.platformTimeout);
    const MemberRow self = selfRow(settings);
    SharedState state(self, settings.syncLimits());
    AccountLimiter limiter(self.instance, self.incarnation, settings.sharePolicy);
    state.setListener([&limiter](const auto &change) { limiter.onChange(change); });
    CrashWatch crashes;
    PeerExchange peers(settings, state, limiter, crashes);
    Fleet fleet(settings);
    Relay relay(settings, fleet, crashes);
    IdempotencyStore idempotency(platform, fleet);
    StateSync sync(settings, platform, state,
                   [&peers](Version version) { return peers.configurationText(version); });
    peers.setNewerStateHook([&sync] { sync.wake(); });
    MemberSync member(settings, platform, state, sync, limiter, peers);
    Planner planner(settings, platform, state);
    InstanceWatch instances(platform, settings.instanceListInterval, [&](const auto &leaving) {
        fleet.setLeaving(leaving);
        planner.setListedLeaving(leaving);
    });
    CallerApi callers(settings, state, relay, limiter, idempotency);
    TimelineCollector timeline(settings, fleet, [&peers] { return peers.addresses(); });
    OperatorApi operators(settings, platform, state, sync, fleet, member, timeline);

    const DoorParts parts{settings, state, fleet, crashes, planner, peers};
    ThriftServer door(settings.listen, makeGatewayDoorFactory(parts), settings.doorConnections);
    HttpServerLimits httpLimits;
    httpLimits.connections = settings.connections;
    httpLimits.bodyBytes = settings.bodyBytes;
    HttpServer http(httpLimits);
    callers.addRoutes(http.routes());
    operators.addRoutes(http.routes());
    http.addHealthRoutes([&] {
        return state.configuration() && state.isFresh(Process::now()) && !Process::stopRequested();
    });
    http.listen(settings.httpListen);
    const Address httpAddress{settings.httpListen.host, http.port()};
    const Address doorAddress{settings.listen.host, door.port()};
    peers.setOwnDoor(doorAddress.text());
    member.start(doorAddress.text(), httpAddress.text());
    writeReadyFile(settings.readyFile,
                   {{"http", httpAddress.text()}, {"door", doorAddress.text()}});
    LOG(INFO) << "event=started instance=" << settings.instance.text()
              << " http=" << httpAddress.text() << " door=" << doorAddress.text();

    while (!Process::waitForStop(std::chrono::seconds(1)))
        continue;
    // Not ready at once, but requests are served until callers' balancer has noticed.
    EventLog::record(EventKind::Draining);
    member.beginLeaving();
    LOG(INFO) << "event=draining in_flight=" << callers.inFlight();
    waitForGrace(settings.stopGrace);
    callers.stopAccepting();
    waitUntilIdle(callers, settings.drainLimit);
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
