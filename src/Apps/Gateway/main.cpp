#include "Adapters/HttpPlatform.h"
#include "Adapters/HttpServer.h"
#include "Adapters/Process.h"
#include "Adapters/ReadyFile.h"
#include "Adapters/ThriftServer.h"
#include "Apps/Gateway/CallerApi.h"
#include "Apps/Gateway/ChangeGate.h"
#include "Apps/Gateway/Fleet.h"
#include "Apps/Gateway/GatewayDoor.h"
#include "Apps/Gateway/GatewaySettings.h"
#include "Apps/Gateway/OperatorApi.h"
#include "Apps/Gateway/Planner.h"
#include "Apps/Gateway/Relay.h"
#include "Apps/Gateway/SharedState.h"
#include "Apps/Gateway/StateSync.h"

#include <glog/logging.h>

using namespace quetzalyoke;

namespace {

constexpr std::chrono::milliseconds drainPoll{20};

// Lets every account have everything.
class NoAccountLimits : public AccountLimits
{
public:
    std::optional<Refusal> admit(const AccountId &, const TokenEstimate &, Instant) override
    {
        return std::nullopt;
    }
    Duration charge(const AccountId &, Tokens, Instant) override { return Duration::zero(); }
};

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

int serve(const GatewaySettings &settings)
{
    HttpPlatform platform(settings.platform, settings.platformTimeout);
    SharedState state(settings.freshness);
    Fleet fleet(settings);
    CrashWatch crashes;
    Relay relay(settings, fleet, crashes);
    IdempotencyStore idempotency(platform, fleet);
    NoAccountLimits limits;
    StateSync sync(settings, platform, state);
    Planner planner(settings, platform, platform, state);
    CallerApi callers(settings, state, relay, limits, idempotency);
    OpenChangeGate gate;
    OperatorApi operators(settings, platform, state, sync, fleet, gate);

    ThriftServer door(settings.listen,
                      makeGatewayDoorFactory(settings, state, fleet, crashes, planner),
                      settings.doorConnections);
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
    writeReadyFile(settings.readyFile,
                   {{"http", httpAddress.text()}, {"door", doorAddress.text()}});
    LOG(INFO) << "event=started instance=" << settings.instance.text()
              << " http=" << httpAddress.text() << " door=" << doorAddress.text();

    while (!Process::waitForStop(std::chrono::seconds(1)))
        continue;
    // Not ready at once, but requests are served until callers' balancer has noticed.
    LOG(INFO) << "event=draining in_flight=" << callers.inFlight();
    waitForGrace(settings.stopGrace);
    callers.stopAccepting();
    waitUntilIdle(callers, settings.drainLimit);
    http.stop();
    door.stop();
    planner.stop();
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
