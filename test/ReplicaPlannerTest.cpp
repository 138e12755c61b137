#include "Serving/Placement/ReplicaController.h"

#include <gtest/gtest.h>

using namespace quetzalyoke;
using namespace std::chrono_literals;

namespace {

const Instant start{1h};
const ServiceName service("llm");

ModelName model(int i)
{
    return ModelName("model-" + std::to_string(i));
}

// Engines with room for three models each that execute every order at once, and the controller that
// sends the orders.
class Fleet
{
public:
    Fleet(int engines, int models) : m_controller(ReplicaController::Settings())
    {
        auto config = std::make_shared<ServingConfig>();
        ServiceSpec spec;
        spec.name = service;
        spec.engine.emplace();
        spec.engine->megabytes = 220'000;
        spec.engine->adapterSlots = 5;
        spec.engine->loadsPerSecond = 1.1;
        for (int i = 0; i < models; ++i)
            spec.engine->models[model(i)]
                = {model(i), 70'000, 66, 29, Milliseconds(1200), Milliseconds(240)};
        config->services[service] = spec;
        m_controller.setConfig(config);
        for (int i = 0; i < engines; ++i) {
            ListedServer server;
            server.id = ServerName("engine-" + std::to_string(i));
            server.incarnation = Incarnation(1);
            server.service = service;
            server.address = "10.0.0.1:80";
            for (int k = 0; k < 3; ++k)
                server.loadedModels[model((i * 3 + k) % models)];
            m_engines[server.id].loadedModels = server.loadedModels;
            m_directory.put(server, start);
        }
        m_controller.setServers(m_directory);
    }

    // Stores the model on the engine's own disk.
    void storeLocally(int engine, int i)
    {
        const ServerName id("engine-" + std::to_string(engine));
        m_engines[id].locallyStoredModels.insert(model(i));
    }
    // Restarts the engine under the same id without loaded models.
    void restartEmpty(int engine, Instant now)
    {
        const ServerName id("engine-" + std::to_string(engine));
        ListedServer server = m_directory.find(id)->listed;
        server.incarnation += Incarnation(1);
        server.loadedModels.clear();
        m_engines[id].loadedModels.clear();
        m_engines[id].acceptedOrders = 0;
        m_directory.put(server, now);
        m_controller.setServers(m_directory);
    }

    void recordOverDemand(int engine, Instant now)
    {
        m_controller.recordOverDemand(ServerName("engine-" + std::to_string(engine)), now);
    }

    // Engines without a zone of their own are in none.
    void setZone(int engine, const ZoneName &zone, Instant now)
    {
        ListedServer server
            = m_directory.find(ServerName("engine-" + std::to_string(engine)))->listed;
        server.zone = zone;
        m_directory.put(server, now);
        m_controller.setServers(m_directory);
    }
    void setEvacuated(const ZoneName &zone, bool isEvacuated, Instant now)
    {
        m_directory.applyEvacuation(
            zone, isEvacuated ? EvacuationChange::Begun : EvacuationChange::Revoked, now);
        m_controller.setServers(m_directory);
    }
    // Orders and status requests that an engine has got.
    int messages(int engine) const
    {
        const auto it = m_messages.find(ServerName("engine-" + std::to_string(engine)));
        return it == m_messages.end() ? 0 : it->second;
    }

    void setDemand(int i, std::int64_t tokensPerStep) { m_demand[i] = tokensPerStep; }
    void addWaitingRequest(int i, Instant now)
    {
        m_controller.recordWaitingRequest(model(i), {}, now);
    }
    void addWaitingRequestForAdapter(int i, const AdapterName &adapter, Instant now)
    {
        m_controller.recordWaitingRequest(model(i), adapter, now);
    }

    void proposeAdapterReplica(int engine, int i, const AdapterName &adapter, Instant now)
    {
        m_controller.proposeAdapterReplica(ServerName("engine-" + std::to_string(engine)), model(i),
                                           adapter, now);
    }
    void recordAdapterUse(int engine, int i, const AdapterName &adapter, Instant now)
    {
        m_controller.recordAdapterUse(ServerName("engine-" + std::to_string(engine)), model(i),
                                      adapter, now);
    }

    void step(Instant now)
    {
        for (const auto &[i, tokens] : m_demand)
            m_controller.recordPromptTokens(model(i), tokens, now);
        const auto step = m_controller.nextActions(now, now == start);
        for (const ConditionalEngineOrder &order : step.orders)
            execute(order, now);
        for (const ConditionalEngineOrder &order : step.orders)
            ++m_messages[order.server];
        for (const ServerName &server : step.statusRequests)
            ++m_messages[server];
        for (const ServerName &server : step.statusRequests)
            m_controller.onStatus(server, m_engines[server], now, now);
    }

    int replicas(int i) const
    {
        int n = 0;
        for (const auto &[id, engine] : m_engines)
            n += static_cast<int>(engine.loadedModels.count(model(i)));
        return n;
    }
    bool engineHasModel(int engine, int i) const
    {
        return m_engines.at(ServerName("engine-" + std::to_string(engine)))
                   .loadedModels.count(model(i))
            > 0;
    }
    bool hasAdapter(int i, const AdapterName &adapter) const
    {
        for (const auto &[id, engine] : m_engines) {
            const auto it = engine.loadedModels.find(model(i));
            if (it != engine.loadedModels.end() && it->second.count(adapter) > 0)
                return true;
        }
        return false;
    }

    bool engineHasAdapter(int engine, int i, const AdapterName &adapter) const
    {
        const auto &loadedModels
            = m_engines.at(ServerName("engine-" + std::to_string(engine))).loadedModels;
        const auto it = loadedModels.find(model(i));
        return it != loadedModels.end() && it->second.count(adapter) > 0;
    }

    std::vector<Instant> loads;
    bool overfull = false;
    bool lostLastReplica = false;

private:
    void execute(const ConditionalEngineOrder &order, Instant now)
    {
        EngineStatus &engine = m_engines[order.server];
        if (order.expectedOrderCount != engine.acceptedOrders) {
            m_controller.onOrderOutcome(order, OrderOutcome::Conflict, now);
            return;
        }
        ++engine.acceptedOrders;
        auto &loadedModels = engine.loadedModels;
        if (order.kind == ConditionalEngineOrder::Kind::Load && order.adapter.isEmpty()) {
            loadedModels[order.model];
            loads.push_back(now);
        } else if (order.kind == ConditionalEngineOrder::Kind::Load) {
            loadedModels[order.model].insert(order.adapter);
        } else if (order.adapter.isEmpty()) {
            loadedModels.erase(order.model);
            int n = 0;
            for (const auto &[id, other] : m_engines)
                n += static_cast<int>(other.loadedModels.count(order.model));
            lostLastReplica = lostLastReplica || n == 0;
        } else {
            loadedModels[order.model].erase(order.adapter);
        }
        std::size_t adapters = 0;
        for (const auto &[name, loadedAdapters] : loadedModels)
            adapters += loadedAdapters.size();
        overfull = overfull || loadedModels.size() > 3 || adapters > 5;
        m_controller.onOrderOutcome(order, OrderOutcome::Accepted, now);
    }

    ReplicaController m_controller;
    ServerDirectory m_directory{2s};
    std::map<ServerName, EngineStatus> m_engines;
    std::map<int, std::int64_t> m_demand;
    std::map<ServerName, int> m_messages;
};

constexpr Duration stepInterval = 50ms;

} // namespace

// Load pattern: the demand moves to a model that has one replica.
TEST(ReplicaPlannerTest, addsReplicasOfAModelThatBecomesBusy)
{
    Fleet fleet(9, 17);
    Instant now = start;
    for (; now < start + 3s; now += stepInterval)
        fleet.step(now);
    EXPECT_TRUE(fleet.loads.empty());
    fleet.setDemand(5, 3000); // takes about one and a half engines
    for (; now < start + 12s; now += stepInterval)
        fleet.step(now);
    EXPECT_GE(fleet.replicas(5), 4);
    EXPECT_FALSE(fleet.overfull);
    EXPECT_FALSE(fleet.lostLastReplica);
    for (int i = 0; i < 17; ++i)
        EXPECT_GE(fleet.replicas(i), 1) << i;
}

// Load pattern: demand that the replicas can just serve, evenly over all models. It must not cause
// loads.
TEST(ReplicaPlannerTest, changesNothingWhileDemandIsBalanced)
{
    Fleet fleet(9, 17);
    for (int i = 0; i < 17; ++i)
        fleet.setDemand(i, 120);
    for (Instant now = start; now < start + 20s; now += stepInterval)
        fleet.step(now);
    EXPECT_LE(fleet.loads.size(), 1U);
}

TEST(ReplicaPlannerTest, keepsTheLoadRateOfTheWeightStoreInEveryWindow)
{
    Fleet fleet(18, 17);
    for (Instant now = start; now < start + 40s; now += stepInterval) {
        const int busy = static_cast<int>((now - start) / 4s) % 17;
        for (int i = 0; i < 17; ++i)
            fleet.setDemand(i, i == busy ? 6000 : 0);
        fleet.step(now);
    }
    ASSERT_GT(fleet.loads.size(), 10U);
    const Duration window = 5s;
    const std::size_t maxLoads = static_cast<std::size_t>(1.1 * 5 + 3);
    for (std::size_t i = 0; i + maxLoads < fleet.loads.size(); ++i)
        EXPECT_GT(fleet.loads[i + maxLoads] - fleet.loads[i], window);
    EXPECT_FALSE(fleet.overfull);
}

// Load pattern: half of the engines crash and restart without loaded models. Their former models
// are stored on their disks.
TEST(ReplicaPlannerTest, reloadsRestartedEnginesFromTheirOwnDisks)
{
    Fleet fleet(6, 17);
    Instant now = start;
    for (; now < start + 3s; now += stepInterval)
        fleet.step(now);
    for (int engine = 0; engine < 3; ++engine) {
        for (int k = 0; k < 3; ++k)
            fleet.storeLocally(engine, engine * 3 + k);
        fleet.restartEmpty(engine, now);
    }
    // From the weight store alone only two of the nine models would be loaded by then.
    const Instant restartedAt = now;
    for (; now < restartedAt + 2500ms; now += stepInterval)
        fleet.step(now);
    for (int i = 0; i < 9; ++i)
        EXPECT_EQ(fleet.replicas(i), 1) << i;
    EXPECT_FALSE(fleet.overfull);
}

// Load pattern: demand returns to a model that an engine has unloaded before and still stores.
TEST(ReplicaPlannerTest, prefersEnginesThatStoreTheModelLocally)
{
    Fleet fleet(9, 17);
    Instant now = start;
    fleet.storeLocally(7, 5);
    for (; now < start + 3s; now += stepInterval)
        fleet.step(now);
    const int before = fleet.replicas(5);
    fleet.setDemand(5, 3000);
    for (; fleet.loads.empty() && now < start + 5s; now += stepInterval)
        fleet.step(now);
    EXPECT_EQ(fleet.replicas(5), before + 1);
    EXPECT_TRUE(fleet.engineHasModel(7, 5));
}

// Load pattern: engines are lost until there are more models than the engines have room for.
TEST(ReplicaPlannerTest, replacesTheLastReplicaOfAnIdleModelByARequestedModel)
{
    Fleet fleet(5, 17);
    for (int engine = 0; engine < 5; ++engine) {
        for (int k = 0; k < 3; ++k)
            fleet.storeLocally(engine, engine * 3 + k);
    }
    Instant now = start;
    for (; now < start + 3s; now += stepInterval)
        fleet.step(now);
    ASSERT_EQ(fleet.replicas(16), 0);
    for (int i = 0; i < 14; ++i)
        fleet.setDemand(i, 200);
    fleet.setDemand(16, 200);
    for (; now < start + 6s; now += stepInterval) {
        fleet.addWaitingRequest(16, now);
        fleet.step(now);
    }
    EXPECT_EQ(fleet.replicas(16), 1);
    for (int i = 0; i < 14; ++i)
        EXPECT_GE(fleet.replicas(i), 1) << i;
    EXPECT_FALSE(fleet.overfull);
}

// Load pattern: nearly every model has only one replica; one model gets most of the requests.
TEST(ReplicaPlannerTest, replacesIdleModelsByReplicasOfABusyModel)
{
    Fleet fleet(6, 17);
    for (int engine = 0; engine < 6; ++engine) {
        for (int k = 0; k < 3; ++k)
            fleet.storeLocally(engine, (engine * 3 + k) % 17);
    }
    Instant now = start;
    for (; now < start + 3s; now += stepInterval)
        fleet.step(now);
    for (int i = 1; i < 9; ++i)
        fleet.setDemand(i, 40);
    fleet.setDemand(0, 4000); // takes two engines
    for (; now < start + 12s; now += stepInterval)
        fleet.step(now);
    EXPECT_GE(fleet.replicas(0), 4);
    for (int i = 1; i < 9; ++i)
        EXPECT_GE(fleet.replicas(i), 1) << i;
    EXPECT_FALSE(fleet.overfull);
}

// Load pattern: two models become busy at once, and both replicas of a third one are the cheapest
// to replace.
TEST(ReplicaPlannerTest, keepsOneReplicaIfTwoAreReplacedAtOnce)
{
    Fleet fleet(9, 17);
    Instant now = start;
    for (; now < start + 3s; now += stepInterval) {
        for (int i = 1; i < 17; ++i)
            fleet.setDemand(i, 60);
        fleet.step(now);
    }
    ASSERT_EQ(fleet.replicas(0), 2);
    fleet.setDemand(12, 4000);
    fleet.setDemand(13, 4000);
    for (; now < start + 10s; now += stepInterval)
        fleet.step(now);
    EXPECT_FALSE(fleet.lostLastReplica);
    EXPECT_GE(fleet.replicas(0), 1);
}

// Load pattern: more adapters are used than one engine has slots for.
TEST(ReplicaPlannerTest, loadsRequestedAdaptersWithinTheSlots)
{
    Fleet fleet(9, 17);
    Instant now = start;
    for (; now < start + 1s; now += stepInterval)
        fleet.step(now);
    for (int i = 0; i < 20; ++i) {
        const AdapterName adapter("a" + std::to_string(i));
        const Instant requestedAt = now;
        for (; now < requestedAt + 400ms; now += stepInterval) {
            fleet.addWaitingRequestForAdapter(2, adapter, now);
            fleet.step(now);
        }
    }
    EXPECT_TRUE(fleet.hasAdapter(2, AdapterName("a19")));
    EXPECT_FALSE(fleet.overfull);
}

// Load pattern: nearly all requests for a model with several replicas name one adapter, which one
// engine has loaded.
TEST(ReplicaControllerTest, loadsABusyAdapterOnAnIdleEngine)
{
    Fleet fleet(2, 3);
    const AdapterName busy("a1");
    Instant now = start;
    for (; now < start + 1s; now += 10ms) {
        fleet.addWaitingRequestForAdapter(0, busy, now);
        fleet.step(now);
    }
    const int loadedOn = fleet.engineHasAdapter(0, 0, busy) ? 0 : 1;
    const int idle = 1 - loadedOn;
    ASSERT_TRUE(fleet.engineHasAdapter(loadedOn, 0, busy));
    ASSERT_FALSE(fleet.engineHasAdapter(idle, 0, busy));
    for (const Instant until = now + 200ms; now < until; now += 10ms) {
        fleet.proposeAdapterReplica(idle, 0, busy, now);
        fleet.step(now);
    }
    EXPECT_TRUE(fleet.engineHasAdapter(idle, 0, busy));
    EXPECT_FALSE(fleet.overfull);
}

// Load pattern: an engine states a request limit that is far below the requests for its models, of
// which it has the only replicas.
TEST(ReplicaControllerTest, replacesTheReplicasOfAnEngineWhoseRequestLimitIsUsedUp)
{
    Fleet fleet(4, 9);
    Instant now = start;
    for (; now < start + 8s; now += stepInterval) {
        fleet.recordOverDemand(1, now);
        for (int i = 3; i < 6; ++i)
            fleet.addWaitingRequest(i, now);
        fleet.step(now);
    }
    for (int i = 3; i < 6; ++i) {
        EXPECT_TRUE(fleet.engineHasModel(1, i)) << i;
        EXPECT_GE(fleet.replicas(i), 2) << i;
    }
    EXPECT_FALSE(fleet.overfull);
    EXPECT_FALSE(fleet.lostLastReplica);
}

// The only replicas of three models, and the adapters of one, are in the zone.
TEST(ReplicaControllerTest, replacesTheReplicasOfAnEvacuatedZone)
{
    const ZoneName zone("east");
    Fleet fleet(4, 9);
    fleet.setZone(1, zone, start);
    Instant now = start;
    for (; now < start + 1s; now += stepInterval)
        fleet.step(now);
    fleet.setEvacuated(zone, true, now);
    const int before = fleet.messages(1);
    for (; now < start + 12s; now += stepInterval) {
        fleet.addWaitingRequest(3, now);
        fleet.addWaitingRequestForAdapter(4, AdapterName("a1"), now);
        fleet.proposeAdapterReplica(1, 5, AdapterName("a2"), now);
        fleet.step(now);
    }
    EXPECT_EQ(fleet.messages(1), before);
    for (int i = 3; i < 6; ++i) {
        EXPECT_TRUE(fleet.engineHasModel(1, i)) << i;
        EXPECT_GE(fleet.replicas(i), 2) << i;
    }
    EXPECT_FALSE(fleet.engineHasAdapter(1, 4, AdapterName("a1")));
    EXPECT_TRUE(fleet.hasAdapter(4, AdapterName("a1")));
    EXPECT_FALSE(fleet.overfull);
    EXPECT_FALSE(fleet.lostLastReplica);
    fleet.setEvacuated(zone, false, now);
    for (const Instant end = now + 5s; now < end; now += stepInterval) {
        fleet.proposeAdapterReplica(1, 5, AdapterName("a2"), now);
        fleet.step(now);
    }
    EXPECT_GT(fleet.messages(1), before);
}

// Load pattern: requests for an adapter that only an engine whose request limit is used up has
// loaded, while another engine has the model.
TEST(ReplicaControllerTest, loadsAnAdapterBesideAnEngineWhoseRequestLimitIsUsedUp)
{
    Fleet fleet(2, 3);
    const AdapterName wanted("a1");
    Instant now = start;
    for (; now < start + 1s; now += 10ms) {
        fleet.addWaitingRequestForAdapter(0, wanted, now);
        fleet.step(now);
    }
    const int limited = fleet.engineHasAdapter(0, 0, wanted) ? 0 : 1;
    ASSERT_FALSE(fleet.engineHasAdapter(1 - limited, 0, wanted));
    for (const Instant until = now + 200ms; now < until; now += 10ms) {
        fleet.recordOverDemand(limited, now);
        fleet.addWaitingRequestForAdapter(0, wanted, now);
        fleet.step(now);
    }
    EXPECT_TRUE(fleet.engineHasAdapter(1 - limited, 0, wanted));
}

namespace {

AdapterName adapter(int i)
{
    return AdapterName("a" + std::to_string(i));
}

// Loads an adapter into each of the five adapter slots of engine 0.
void fillAdapterSlots(Fleet &fleet, Instant &now)
{
    for (int i = 0; i < 5; ++i) {
        for (const Instant until = now + 100ms; now < until; now += 10ms) {
            fleet.addWaitingRequestForAdapter(0, adapter(i), now);
            fleet.step(now);
        }
        ASSERT_TRUE(fleet.engineHasAdapter(0, 0, adapter(i)));
    }
}

} // namespace

// Load pattern: long requests use as many adapters as there are slots; a further adapter is
// requested.
TEST(ReplicaControllerTest, keepsAdaptersWhoseRequestsStillRun)
{
    Fleet fleet(1, 3);
    const AdapterName next("a9");
    Instant now = start;
    ASSERT_NO_FATAL_FAILURE(fillAdapterSlots(fleet, now));
    // Requests of 3 s each, except for a short one.
    for (int i = 0; i < 5; ++i)
        fleet.recordAdapterUse(0, 0, adapter(i), now + (i == 2 ? Duration(200ms) : Duration(3s)));
    const Instant sentAt = now;
    for (; now < sentAt + 1500ms; now += 10ms) {
        fleet.addWaitingRequestForAdapter(0, next, now);
        fleet.step(now);
    }
    EXPECT_TRUE(fleet.engineHasAdapter(0, 0, next));
    EXPECT_FALSE(fleet.engineHasAdapter(0, 0, adapter(2)));
    for (const int i : {0, 1, 3, 4})
        EXPECT_TRUE(fleet.engineHasAdapter(0, 0, adapter(i))) << i;
}

// An additional replica of an adapter must not replace an adapter that was used recently.
TEST(ReplicaControllerTest, replacesOnlyUnusedAdaptersByAnAdditionalReplica)
{
    Fleet fleet(1, 3);
    const AdapterName additional("a9");
    Instant now = start;
    ASSERT_NO_FATAL_FAILURE(fillAdapterSlots(fleet, now));
    const auto propose = [&](Duration length, int firstUsed) {
        for (const Instant until = now + length; now < until; now += 10ms) {
            for (int i = firstUsed; i < 5; ++i)
                fleet.recordAdapterUse(0, 0, adapter(i), now);
            fleet.proposeAdapterReplica(0, 0, additional, now);
            fleet.step(now);
        }
    };
    propose(2s, 0);
    EXPECT_FALSE(fleet.engineHasAdapter(0, 0, additional));
    propose(2s, 1);
    EXPECT_TRUE(fleet.engineHasAdapter(0, 0, additional));
    EXPECT_FALSE(fleet.engineHasAdapter(0, 0, adapter(0)));
    EXPECT_FALSE(fleet.overfull);
}
