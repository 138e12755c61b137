#include "Apps/Entry/OrderSender.h"
#include "Adapters/Async/AsyncHttpServer.h"
#include "Apps/Entry/RequestHandler.h"
#include "FakePlatform.h"
#include "LoopbackSocket.h"
#include "platform/PlatformProtocol.h"

#include <gtest/gtest.h>

using namespace quetzalyoke;
using namespace std::chrono_literals;

namespace {

// A platform whose lease is free, so that the first gateway that asks for it holds it.
class LeasePlatform : public FakePlatform
{
public:
    void readLease(LeaseReadHook done) override { done(m_row); }
    void writeLease(const LeaseRow &row, std::function<void(WriteOutcome, Version)> done) override
    {
        m_row = row;
        m_row.version = Version(m_row.version.count() + 1);
        done(WriteOutcome::Done, m_row.version);
    }

private:
    LeaseRow m_row;
};

EntrySettings settings()
{
    EntrySettings settings;
    settings.instance = InstanceId("gateway-1");
    settings.zone = ZoneName("east");
    settings.prefillTokensPerMs = 38;
    settings.processorShare = 1;
    settings.holderChangeInterval = 100ms;
    return settings;
}

ServingConfigPtr configuration()
{
    auto config = std::make_shared<ServingConfig>();
    config->version = Version(3);
    Route route;
    route.name = "r";
    route.host = "h.example";
    route.pathPrefix = "/i/";
    route.kind = RouteKind::Idempotent;
    route.timeout = Milliseconds(2000);
    route.latencyObjective = Milliseconds(400);
    route.isPublic = true;
    route.targets = {{ServiceName("llm"), 1}};
    config->routesByHost[route.host] = {route};
    ServiceSpec service;
    service.name = ServiceName("llm");
    service.engine.emplace();
    service.engine->megabytes = 1000;
    service.engine->adapterSlots = 4;
    service.engine->slots = 4;
    service.engine->kvCacheTokens = 100'000;
    service.engine->loadsPerSecond = 100;
    ModelSpec model;
    model.name = ModelName("m0");
    model.megabytes = 100;
    model.adapterMegabytes = 10;
    model.adapterCount = 4;
    service.engine->models.emplace(model.name, model);
    config->services[service.name] = service;
    return config;
}

} // namespace

// The lease holder orders adapters that requests name. An adapter of one byte that is no UTF-8
// ended its process, and then that of the next holder.
TEST(OrderSenderTest, ordersAdaptersAtTheLeaseHolderWhateverRequestsName)
{
    asio::io_context loop;
    platform::PlatformProtocol protocol;
    LeasePlatform platform;
    EntryState state(settings(), loop, protocol, platform);
    state.config = configuration();
    state.replicaController.setConfig(state.config);
    ScriptedServer engine(loop);
    ListedServer listed;
    listed.id = ServerName("e");
    listed.service = ServiceName("llm");
    listed.zone = ZoneName("east");
    listed.address = engine.address();
    listed.slots = 4;
    listed.incarnation = Incarnation(1);
    listed.loadedModels[ModelName("m0")];
    state.servers.put(listed, steadyNow());
    engine.setResponseTo("GET /report",
                         "HTTP/1.1 200 OK\r\nContent-Length: 57\r\n\r\n"
                         R"({"seq":1,"born":1,"models":[{"name":"m0","adapters":[]}]})");
    OrderSender orders(
        state, [](const std::vector<LoadedModelChange> &) {},
        [] { return std::vector<StatePeer>(); });
    state.onRequestWaiting = [&orders] { orders.scheduleStep(); };
    const auto runHolder = [&](auto done) {
        return runUntil(loop, [&] {
            orders.tick();
            return done();
        });
    };
    ASSERT_TRUE(runHolder([&] { return orders.fencingToken() > 0; }));
    orders.onServersChanged();
    AsyncHttpServer gateway(
        loop, 16,
        {[&state](const HttpServerConnection::Pointer &connection, HttpRequest &&request) {
             std::make_shared<RequestHandler>(state, connection, std::move(request))->start();
         },
         [] { return HttpServerConnectionLimits(); }, [] { return false; },
         [](int, const char *) {}});
    gateway.listen({loopbackHost(), 0});
    const auto send = [&](const std::string &model) {
        auto caller = std::make_unique<RawClient>(loop, gateway.port());
        caller->send("GET /i/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: id-1\r\nModel: " + model
                     + "\r\nToken-Count: 10,10\r\n\r\n");
        return caller;
    };
    for (int byte = 0x80; byte < 0x100; ++byte) {
        const auto caller = send(std::string("m0/") + static_cast<char>(byte));
        EXPECT_TRUE(runHolder([&] { return caller->received().starts_with("HTTP/1.1 400"); }))
            << byte;
    }
    EXPECT_EQ(engine.received().find("POST /order"), std::string::npos);
    // The name may come on another way.
    engine.setResponse("HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n");
    state.replicaController.recordWaitingRequest(ModelName("m0"), AdapterName("\xff"), steadyNow());
    EXPECT_TRUE(
        runHolder([&] { return engine.received().find("POST /order") != std::string::npos; }));
    EXPECT_NE(engine.received().find("\xef\xbf\xbd"), std::string::npos);
    const auto caller = send("m0/good");
    EXPECT_TRUE(runHolder([&] { return engine.received().find("\"good\"") != std::string::npos; }));
}
