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

// Engines that carry out every order at once, three models each, and a director that orders them.
class Fleet
{
public:
    Fleet(int engines, int models) : m_director(ReplicaController::Settings())
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
        m_director.setConfig(config);
        for (int i = 0; i < engines; ++i) {
            ListedServer server;
            server.id = ServerName("engine-" + std::to_string(i));
            server.incarnation = Incarnation(1);
            server.service = service;
            server.address = "10.0.0.1:80";
            for (int k = 0; k < 3; ++k)
                server.loadedModels[model((i * 3 + k) % models)];
            m_engines[server.id].loadedModels = server.loadedModels;
            m_book.put(server, start);
        }
        m_director.setServers(m_book);
    }

    // The engine has the model on its own disk.
    void putAtHand(int engine, int i)
    {
        const ServerName id("engine-" + std::to_string(engine));
        m_engines[id].locallyStoredModels.insert(model(i));
    }
    // The engine comes back under its id, holding nothing.
    void crash(int engine, Instant now)
    {
        const ServerName id("engine-" + std::to_string(engine));
        ListedServer server = m_book.find(id)->listed;
        server.incarnation += Incarnation(1);
        server.loadedModels.clear();
        m_engines[id].loadedModels.clear();
        m_engines[id].acceptedOrders = 0;
        m_book.put(server, now);
        m_director.setServers(m_book);
    }

    void ask(int i, std::int64_t tokensPerStep) { m_demand[i] = tokensPerStep; }
    void want(int i, Instant now) { m_director.recordWaitingRequest(model(i), {}, now); }
    void wantAdapter(int i, const AdapterName &adapter, Instant now)
    {
        m_director.recordWaitingRequest(model(i), adapter, now);
    }

    void relieve(int engine, int i, const AdapterName &adapter, Instant now)
    {
        m_director.proposeAdapterReplica(ServerName("engine-" + std::to_string(engine)), model(i),
                                         adapter, now);
    }
    void use(int engine, int i, const AdapterName &adapter, Instant now)
    {
        m_director.recordAdapterUse(ServerName("engine-" + std::to_string(engine)), model(i),
                                    adapter, now);
    }

    void step(Instant now)
    {
        for (const auto &[i, tokens] : m_demand)
            m_director.recordPromptTokens(model(i), tokens, now);
        const auto step = m_director.nextActions(now, now == start);
        for (const ConditionalEngineOrder &command : step.orders)
            carryOut(command, now);
        for (const ServerName &server : step.statusRequests)
            m_director.onStatus(server, m_engines[server], now, now);
    }

    int replicas(int i) const
    {
        int n = 0;
        for (const auto &[id, engine] : m_engines)
            n += static_cast<int>(engine.loadedModels.count(model(i)));
        return n;
    }
    bool holds(int engine, int i) const
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
        const auto &holdings
            = m_engines.at(ServerName("engine-" + std::to_string(engine))).loadedModels;
        const auto it = holdings.find(model(i));
        return it != holdings.end() && it->second.count(adapter) > 0;
    }

    std::vector<Instant> loads;
    bool overfull = false;
    bool lostLastReplica = false;

private:
    void carryOut(const ConditionalEngineOrder &command, Instant now)
    {
        EngineStatus &engine = m_engines[command.server];
        if (command.expectedOrderCount != engine.acceptedOrders) {
            m_director.onOrderOutcome(command, OrderOutcome::Conflict, now);
            return;
        }
        ++engine.acceptedOrders;
        auto &holdings = engine.loadedModels;
        if (command.kind == ConditionalEngineOrder::Kind::Load && command.adapter.isEmpty()) {
            holdings[command.model];
            loads.push_back(now);
        } else if (command.kind == ConditionalEngineOrder::Kind::Load) {
            holdings[command.model].insert(command.adapter);
        } else if (command.adapter.isEmpty()) {
            holdings.erase(command.model);
            int n = 0;
            for (const auto &[id, other] : m_engines)
                n += static_cast<int>(other.loadedModels.count(command.model));
            lostLastReplica = lostLastReplica || n == 0;
        } else {
            holdings[command.model].erase(command.adapter);
        }
        std::size_t adapters = 0;
        for (const auto &[name, held] : holdings)
            adapters += held.size();
        overfull = overfull || holdings.size() > 3 || adapters > 5;
        m_director.onOrderOutcome(command, OrderOutcome::Accepted, now);
    }

    ReplicaController m_director;
    ServerDirectory m_book{2s};
    std::map<ServerName, EngineStatus> m_engines;
    std::map<int, std::int64_t> m_demand;
};

constexpr Duration tick = 50ms;

} // namespace

// Load pattern: the demand moves to a model that has one copy.
TEST(ReplicaPlannerTest, givesAModelThatBecomesBusyMoreCopies)
{
    Fleet fleet(9, 17);
    Instant now = start;
    for (; now < start + 3s; now += tick)
        fleet.step(now);
    EXPECT_TRUE(fleet.loads.empty());
    fleet.ask(5, 3000); // about one and a half engines' time
    for (; now < start + 12s; now += tick)
        fleet.step(now);
    EXPECT_GE(fleet.replicas(5), 4);
    EXPECT_FALSE(fleet.overfull);
    EXPECT_FALSE(fleet.lostLastReplica);
    for (int i = 0; i < 17; ++i)
        EXPECT_GE(fleet.replicas(i), 1) << i;
}

// Load pattern: a demand that wavers around what the copies carry moves nothing.
TEST(ReplicaPlannerTest, leavesABalancedFleetAlone)
{
    Fleet fleet(9, 17);
    for (int i = 0; i < 17; ++i)
        fleet.ask(i, 120);
    for (Instant now = start; now < start + 20s; now += tick)
        fleet.step(now);
    EXPECT_LE(fleet.loads.size(), 1U);
}

TEST(ReplicaPlannerTest, keepsTheWeightStoresRateInEveryWindow)
{
    Fleet fleet(18, 17);
    for (Instant now = start; now < start + 40s; now += tick) {
        const int busy = static_cast<int>((now - start) / 4s) % 17;
        for (int i = 0; i < 17; ++i)
            fleet.ask(i, i == busy ? 6000 : 0);
        fleet.step(now);
    }
    ASSERT_GT(fleet.loads.size(), 10U);
    const Duration window = 5s;
    const std::size_t most = static_cast<std::size_t>(1.1 * 5 + 3);
    for (std::size_t i = 0; i + most < fleet.loads.size(); ++i)
        EXPECT_GT(fleet.loads[i + most] - fleet.loads[i], window);
    EXPECT_FALSE(fleet.overfull);
}

// Load pattern: half of the engines crash and come back empty. What they held is on their disks.
TEST(ReplicaPlannerTest, fillsEnginesThatComeBackFromTheirOwnDisks)
{
    Fleet fleet(6, 17);
    Instant now = start;
    for (; now < start + 3s; now += tick)
        fleet.step(now);
    for (int engine = 0; engine < 3; ++engine) {
        for (int k = 0; k < 3; ++k)
            fleet.putAtHand(engine, engine * 3 + k);
        fleet.crash(engine, now);
    }
    // The weight store alone would give two of the nine models by then.
    const Instant back = now;
    for (; now < back + 2500ms; now += tick)
        fleet.step(now);
    for (int i = 0; i < 9; ++i)
        EXPECT_EQ(fleet.replicas(i), 1) << i;
    EXPECT_FALSE(fleet.overfull);
}

// Load pattern: demand comes back to a model that engines have given up before.
TEST(ReplicaPlannerTest, copiesABusyModelWhereItIsAtHandFirst)
{
    Fleet fleet(9, 17);
    Instant now = start;
    fleet.putAtHand(7, 5);
    for (; now < start + 3s; now += tick)
        fleet.step(now);
    const int before = fleet.replicas(5);
    fleet.ask(5, 3000);
    for (; fleet.loads.empty() && now < start + 5s; now += tick)
        fleet.step(now);
    EXPECT_EQ(fleet.replicas(5), before + 1);
    EXPECT_TRUE(fleet.holds(7, 5));
}

// Load pattern: engines are lost until fewer places are left than there are models.
TEST(ReplicaPlannerTest, servesAWantedModelInThePlaceOfOneThatNobodyAsksFor)
{
    Fleet fleet(5, 17);
    for (int engine = 0; engine < 5; ++engine) {
        for (int k = 0; k < 3; ++k)
            fleet.putAtHand(engine, engine * 3 + k);
    }
    Instant now = start;
    for (; now < start + 3s; now += tick)
        fleet.step(now);
    ASSERT_EQ(fleet.replicas(16), 0);
    for (int i = 0; i < 14; ++i)
        fleet.ask(i, 200);
    fleet.ask(16, 200);
    for (; now < start + 6s; now += tick) {
        fleet.want(16, now);
        fleet.step(now);
    }
    EXPECT_EQ(fleet.replicas(16), 1);
    for (int i = 0; i < 14; ++i)
        EXPECT_GE(fleet.replicas(i), 1) << i;
    EXPECT_FALSE(fleet.overfull);
}

// Load pattern: nearly every place holds a model's only copy; one model gets most of the requests.
TEST(ReplicaPlannerTest, copiesAPressingModelInThePlacesOfIdleOnes)
{
    Fleet fleet(6, 17);
    for (int engine = 0; engine < 6; ++engine) {
        for (int k = 0; k < 3; ++k)
            fleet.putAtHand(engine, (engine * 3 + k) % 17);
    }
    Instant now = start;
    for (; now < start + 3s; now += tick)
        fleet.step(now);
    for (int i = 1; i < 9; ++i)
        fleet.ask(i, 40);
    fleet.ask(0, 4000); // two engines' time
    for (; now < start + 12s; now += tick)
        fleet.step(now);
    EXPECT_GE(fleet.replicas(0), 4);
    for (int i = 1; i < 9; ++i)
        EXPECT_GE(fleet.replicas(i), 1) << i;
    EXPECT_FALSE(fleet.overfull);
}

// Load pattern: two models become busy at once, and both copies of a third are the cheapest places.
TEST(ReplicaPlannerTest, keepsACopyWhereTwoPlacesAreTakenAtOnce)
{
    Fleet fleet(9, 17);
    Instant now = start;
    for (; now < start + 3s; now += tick) {
        for (int i = 1; i < 17; ++i)
            fleet.ask(i, 60);
        fleet.step(now);
    }
    ASSERT_EQ(fleet.replicas(0), 2);
    fleet.ask(12, 4000);
    fleet.ask(13, 4000);
    for (; now < start + 10s; now += tick)
        fleet.step(now);
    EXPECT_FALSE(fleet.lostLastReplica);
    EXPECT_GE(fleet.replicas(0), 1);
}

// Load pattern: more adapters in use than one engine has slots for.
TEST(ReplicaPlannerTest, loadsAdaptersThatAreWaitedForWithinTheSlots)
{
    Fleet fleet(9, 17);
    Instant now = start;
    for (; now < start + 1s; now += tick)
        fleet.step(now);
    for (int i = 0; i < 20; ++i) {
        const AdapterName adapter("a" + std::to_string(i));
        const Instant asked = now;
        for (; now < asked + 400ms; now += tick) {
            fleet.wantAdapter(2, adapter, now);
            fleet.step(now);
        }
    }
    EXPECT_TRUE(fleet.hasAdapter(2, AdapterName("a19")));
    EXPECT_FALSE(fleet.overfull);
}

// Load pattern: nearly all requests of a model with several copies name one adapter, which one
// engine holds.
TEST(EngineDirectorTest, loadsABusyAdapterAtTheEngineThatHasTime)
{
    Fleet fleet(2, 3);
    const AdapterName busy("a1");
    Instant now = start;
    for (; now < start + 1s; now += 10ms) {
        fleet.wantAdapter(0, busy, now);
        fleet.step(now);
    }
    const int holder = fleet.engineHasAdapter(0, 0, busy) ? 0 : 1;
    const int idle = 1 - holder;
    ASSERT_TRUE(fleet.engineHasAdapter(holder, 0, busy));
    ASSERT_FALSE(fleet.engineHasAdapter(idle, 0, busy));
    for (const Instant until = now + 200ms; now < until; now += 10ms) {
        fleet.relieve(idle, 0, busy, now);
        fleet.step(now);
    }
    EXPECT_TRUE(fleet.engineHasAdapter(idle, 0, busy));
    EXPECT_FALSE(fleet.overfull);
}

namespace {

AdapterName adapter(int i)
{
    return AdapterName("a" + std::to_string(i));
}

// Loads an adapter into each of the five places of engine 0.
void fillAdapterPlaces(Fleet &fleet, Instant &now)
{
    for (int i = 0; i < 5; ++i) {
        for (const Instant until = now + 100ms; now < until; now += 10ms) {
            fleet.wantAdapter(0, adapter(i), now);
            fleet.step(now);
        }
        ASSERT_TRUE(fleet.engineHasAdapter(0, 0, adapter(i)));
    }
}

} // namespace

// Load pattern: long answers with as many adapters as places; a further adapter is asked for.
TEST(EngineDirectorTest, leavesAdaptersWhoseRequestsStillRun)
{
    Fleet fleet(1, 3);
    const AdapterName next("a9");
    Instant now = start;
    ASSERT_NO_FATAL_FAILURE(fillAdapterPlaces(fleet, now));
    // Requests of 3 s each, but for one that is short.
    for (int i = 0; i < 5; ++i)
        fleet.use(0, 0, adapter(i), now + (i == 2 ? Duration(200ms) : Duration(3s)));
    const Instant sent = now;
    for (; now < sent + 1500ms; now += 10ms) {
        fleet.wantAdapter(0, next, now);
        fleet.step(now);
    }
    EXPECT_TRUE(fleet.engineHasAdapter(0, 0, next));
    EXPECT_FALSE(fleet.engineHasAdapter(0, 0, adapter(2)));
    for (const int i : {0, 1, 3, 4})
        EXPECT_TRUE(fleet.engineHasAdapter(0, 0, adapter(i))) << i;
}

// A further copy of an adapter takes no place that requests have used lately.
TEST(EngineDirectorTest, relievesAnAdapterOnlyInPlacesThatAreNotInUse)
{
    Fleet fleet(1, 3);
    const AdapterName pressing("a9");
    Instant now = start;
    ASSERT_NO_FATAL_FAILURE(fillAdapterPlaces(fleet, now));
    const auto press = [&](Duration length, int firstUsed) {
        for (const Instant until = now + length; now < until; now += 10ms) {
            for (int i = firstUsed; i < 5; ++i)
                fleet.use(0, 0, adapter(i), now);
            fleet.relieve(0, 0, pressing, now);
            fleet.step(now);
        }
    };
    press(2s, 0);
    EXPECT_FALSE(fleet.engineHasAdapter(0, 0, pressing));
    press(2s, 1);
    EXPECT_TRUE(fleet.engineHasAdapter(0, 0, pressing));
    EXPECT_FALSE(fleet.engineHasAdapter(0, 0, adapter(0)));
    EXPECT_FALSE(fleet.overfull);
}
