#include "Serving/Servers/ServerChooser.h"

#include <gtest/gtest.h>

#include <ctime>

using namespace quetzalyoke;
using namespace std::chrono_literals;

namespace {

const Instant start{1h};
const ModelName model("small");
const AdapterName adapter("a1");

struct Fleet
{
    Fleet()
    {
        service.name = ServiceName("llm");
        service.engine.emplace();
        service.engine->kvCacheTokens = 100'000;
        metadata.model = model;
        metadata.promptTokens = Tokens(1000);
        metadata.maxOutputTokens = Tokens(100);
    }

    ListedServer engine(const std::string &id)
    {
        ListedServer server;
        server.id = ServerName(id);
        server.incarnation = Incarnation(1);
        server.service = service.name;
        server.zone = ZoneName("east");
        server.address = id;
        server.slots = 4;
        return server;
    }

    // Adds engines that have the model loaded.
    void addEngines(std::initializer_list<const char *> ids)
    {
        for (const char *id : ids) {
            ListedServer server = engine(id);
            server.loadedModels[model];
            directory.put(server, start);
        }
    }

    ServerChoice choose(std::set<ServerName> excluded = {})
    {
        return chooser.choose({&service, &metadata, &prefixHashes, std::move(excluded)}, directory,
                              start);
    }

    ServiceSpec service;
    RequestMetadata metadata;
    std::vector<std::uint64_t> prefixHashes;
    ServerDirectory directory{2s};
    ServerChooser chooser{ServerChooser::Settings(), ZoneName("east")};
};

} // namespace

TEST(ServerChooserTest, reportsWhyNoServerIsChosen)
{
    Fleet fleet;
    EXPECT_EQ(fleet.choose().outcome, ServerChoice::Outcome::NoServer);
    ListedServer server = fleet.engine("engine-1");
    fleet.directory.put(server, start);
    EXPECT_EQ(fleet.choose().outcome, ServerChoice::Outcome::NoModel);
    fleet.metadata.adapter = adapter;
    server.loadedModels[model];
    fleet.directory.put(server, start);
    EXPECT_EQ(fleet.choose().outcome, ServerChoice::Outcome::NoAdapter);
    server.loadedModels[model].insert(adapter);
    fleet.directory.put(server, start);
    EXPECT_EQ(fleet.choose().server, server.id);
    fleet.directory.find(server.id)->ownWork.requestsInFlight = server.slots;
    EXPECT_EQ(fleet.choose().outcome, ServerChoice::Outcome::AllFull);
    EXPECT_EQ(fleet.choose({server.id}).outcome, ServerChoice::Outcome::NoServer);
    server.isLeaving = true;
    fleet.directory.put(server, start);
    EXPECT_EQ(fleet.choose().outcome, ServerChoice::Outcome::NoServer);
}

TEST(ServerChooserTest, choosesTheServerWithTheLeastWorkOfAllGateways)
{
    Fleet fleet;
    fleet.addEngines({"engine-1", "engine-2", "engine-3"});
    fleet.directory.find(ServerName("engine-1"))->ownWork = {1, 20'000, 20'000};
    fleet.directory.setPeerWork(InstanceId("gateway-2"),
                                {{serverHash(ServerName("engine-3")), {1, 30'000, 30'000}}});
    EXPECT_EQ(fleet.choose().server, ServerName("engine-2"));
}

TEST(ServerChooserTest, choosesAnotherServerOrNoneWhileARequestLimitIsUsedUp)
{
    Fleet fleet;
    fleet.addEngines({"engine-1", "engine-2"});
    fleet.directory.find(ServerName("engine-2"))->ownWork = {1, 20'000, 20'000};
    ServerState &limited = *fleet.directory.find(ServerName("engine-1"));
    limited.requestLimit.recordResponse(RequestRate(1), start, start);
    ServerChoice choice = fleet.choose();
    EXPECT_EQ(choice.server, ServerName("engine-1"));
    EXPECT_TRUE(choice.needsPermit);
    limited.permits.recordRequest(1, start);
    limited.permits.onGranted(1, start);
    choice = fleet.choose();
    EXPECT_EQ(choice.server, ServerName("engine-1"));
    EXPECT_FALSE(choice.needsPermit);
    limited.permits.take(start);
    limited.permits.recordRequest(2, start);
    limited.permits.onDenied(2, 800ms, start);
    choice = fleet.choose();
    EXPECT_EQ(choice.server, ServerName("engine-2"));
    EXPECT_FALSE(choice.needsPermit);
    choice = fleet.choose({ServerName("engine-2")});
    EXPECT_EQ(choice.outcome, ServerChoice::Outcome::AllLimited);
    EXPECT_EQ(choice.timeUntilResume, Duration(800ms));
    limited.requestLimit.recordResponse({}, start + 1ms, start + 2ms);
    EXPECT_EQ(fleet.choose().server, ServerName("engine-1"));
}

// The servers of a model must be found without a search through all servers.
TEST(ServerChooserTest, takesMicrosecondsAtElevenThousandServers)
{
    constexpr int servers = 11'000;
    constexpr int models = 1'600;
    constexpr int choices = 2'000;
    Fleet fleet;
    for (int i = 0; i < servers; ++i) {
        ListedServer server = fleet.engine("engine-" + std::to_string(i));
        for (int k = 0; k < 3; ++k)
            server.loadedModels[ModelName("model-" + std::to_string((i * 3 + k) % models))];
        fleet.directory.put(server, start);
    }
    const std::clock_t begin = std::clock();
    for (int i = 0; i < choices; ++i) {
        fleet.metadata.model = ModelName("model-" + std::to_string(i % models));
        ASSERT_EQ(fleet.choose().outcome, ServerChoice::Outcome::Chosen);
    }
    const double seconds = static_cast<double>(std::clock() - begin) / CLOCKS_PER_SEC;
    std::cout << seconds / choices * 1e6 << " us per choice\n";
    // The target is 20 us per choice.
    EXPECT_LT(seconds, choices * 20e-6);
}

// Load pattern: one adapter of a model with two replicas is requested faster than its engine can
// process the prompts.
TEST(ServerChooserTest, proposesAnIdleServerThatLacksOnlyTheAdapter)
{
    Fleet fleet;
    fleet.metadata.adapter = adapter;
    ListedServer busy = fleet.engine("busy");
    busy.loadedModels[model].insert(adapter);
    fleet.directory.put(busy, start);
    ListedServer idle = fleet.engine("idle");
    idle.loadedModels[model];
    fleet.directory.put(idle, start);
    EXPECT_TRUE(fleet.choose().adapterReplicaServer.isEmpty());
    fleet.directory.find(busy.id)->ownWork.prefillTokens = 8000;
    EXPECT_EQ(fleet.choose().server, busy.id);
    EXPECT_EQ(fleet.choose().adapterReplicaServer, idle.id);
    fleet.directory.find(busy.id)->ownWork.requestsInFlight = busy.slots;
    EXPECT_EQ(fleet.choose().outcome, ServerChoice::Outcome::AllFull);
    EXPECT_EQ(fleet.choose().adapterReplicaServer, idle.id);
    fleet.directory.find(idle.id)->ownWork.requestsInFlight = idle.slots;
    EXPECT_TRUE(fleet.choose().adapterReplicaServer.isEmpty());
    fleet.metadata.adapter = AdapterName();
    EXPECT_TRUE(fleet.choose().adapterReplicaServer.isEmpty());
}

TEST(ServerChooserTest, skipsPausedServersAndReportsWhenTheFirstResumes)
{
    Fleet fleet;
    fleet.addEngines({"engine-1", "engine-2"});
    const ServerName first("engine-1");
    const ServerName second("engine-2");
    fleet.directory.recordPause(first, Incarnation(1), start + 3s);
    EXPECT_EQ(fleet.choose().server, second);
    fleet.directory.recordPause(second, Incarnation(1), start + 2s);
    EXPECT_EQ(fleet.choose().outcome, ServerChoice::Outcome::AllPaused);
    EXPECT_EQ(fleet.choose().timeUntilResume, Duration(2s));
    // A full server counts more than paused ones: a slot may become free at any moment.
    fleet.directory.put(fleet.engine("engine-3"), start);
    ListedServer full = fleet.engine("engine-3");
    full.loadedModels[model];
    fleet.directory.put(full, start);
    fleet.directory.find(full.id)->ownWork.requestsInFlight = full.slots;
    EXPECT_EQ(fleet.choose().outcome, ServerChoice::Outcome::AllFull);
}

TEST(ServerChooserTest, prefersServersThatAskedNoPeerForAPause)
{
    Fleet fleet;
    fleet.addEngines({"engine-1", "engine-2"});
    const ServerName preferred = fleet.choose().server;
    fleet.directory.recordPeerPause(preferred, Incarnation(1), start + 1s);
    EXPECT_NE(fleet.choose().server, preferred);
    fleet.directory.recordPeerPause(fleet.choose().server, Incarnation(1), start + 1s);
    EXPECT_EQ(fleet.choose().server, preferred);
}

TEST(ServerChooserTest, choosesNoServerInAnEvacuatedZone)
{
    Fleet fleet;
    fleet.addEngines({"engine-1", "engine-2"});
    ListedServer other = fleet.engine("engine-3");
    other.zone = ZoneName("west");
    fleet.directory.put(other, start); // has not loaded the model
    fleet.directory.applyEvacuation(ZoneName("east"), EvacuationChange::Begun, start);
    // The model can be loaded in the other zone.
    EXPECT_EQ(fleet.choose().outcome, ServerChoice::Outcome::NoModel);
    other.loadedModels[model];
    fleet.directory.put(other, start);
    EXPECT_EQ(fleet.choose().server, ServerName("engine-3"));
    // A server outside the zone was tried and may accept the request later.
    EXPECT_EQ(fleet.choose({ServerName("engine-3")}).outcome, ServerChoice::Outcome::NoServer);
    fleet.directory.applyEvacuation(ZoneName("west"), EvacuationChange::Begun, start);
    EXPECT_EQ(fleet.choose().outcome, ServerChoice::Outcome::AllEvacuated);
    fleet.directory.applyEvacuation(ZoneName("east"), EvacuationChange::Revoked, start);
    EXPECT_EQ(fleet.choose().outcome, ServerChoice::Outcome::Chosen);
    EXPECT_NE(fleet.choose().server, ServerName("engine-3"));
}

TEST(ServerChooserTest, proposesNoAdapterReplicaInAnEvacuatedZone)
{
    Fleet fleet;
    fleet.addEngines({"engine-1"});
    fleet.metadata.adapter = adapter;
    ListedServer busy = fleet.engine("engine-2");
    busy.zone = ZoneName("west");
    busy.loadedModels[model] = {adapter};
    fleet.directory.put(busy, start);
    fleet.directory.find(ServerName("engine-2"))->ownWork = {1, 20'000, 20'000};
    EXPECT_EQ(fleet.choose().adapterReplicaServer, ServerName("engine-1"));
    fleet.directory.applyEvacuation(ZoneName("east"), EvacuationChange::Begun, start);
    EXPECT_EQ(fleet.choose().adapterReplicaServer, ServerName());
    EXPECT_EQ(fleet.choose().server, ServerName("engine-2"));
}

// A cold server gets a request only with a permit, and only if no warm one responds about as soon.
TEST(ServerChooserTest, prefersWarmServersAndSendsToAColdOneWithAPermitOnly)
{
    Fleet fleet;
    fleet.directory.setColdRules({{fleet.service.name, {RequestRate(6.9), 20s}}});
    ListedServer cold = fleet.engine("engine-1");
    cold.coldTime = 10s;
    cold.loadedModels[model];
    fleet.directory.put(cold, start);
    ServerChoice choice = fleet.choose();
    EXPECT_EQ(choice.server, ServerName("engine-1"));
    EXPECT_TRUE(choice.needsPermit);
    fleet.addEngines({"engine-2"});
    fleet.directory.find(ServerName("engine-2"))->ownWork = {1, 500, 500};
    EXPECT_EQ(fleet.choose().server, ServerName("engine-2"));
    EXPECT_FALSE(fleet.choose().needsPermit);
    ServerState &server = *fleet.directory.find(ServerName("engine-1"));
    server.permits.recordRequest(1, start);
    server.permits.onDenied(1, 145ms, start);
    choice = fleet.choose({ServerName("engine-2")});
    EXPECT_EQ(choice.outcome, ServerChoice::Outcome::AllLimited);
    EXPECT_EQ(choice.timeUntilResume, Duration(145ms));
}
