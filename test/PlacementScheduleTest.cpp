// Runs random schedules with a planner, agents that execute its plans, and their engines. Servers
// are lost and return, versions and demand change, orders, responses and reports are lost. Checks
// that no engine's memory is overcommitted, and that a model stays available once it was, unless a
// server was lost within replaceTime.

#include "Core/Placement/EngineReconciler.h"
#include "Core/Placement/PlacementPlanner.h"
#include "FakeEngine.h"

#include <gtest/gtest.h>

#include <random>

namespace quetzalyoke::test {

namespace {

using namespace std::chrono_literals;

constexpr Duration step = 100ms;
constexpr Duration orderTimeout = 500ms;
constexpr Duration loadTime = 400ms;
constexpr Duration reportTimeout = 1s;
constexpr int planInterval = 3; // steps
constexpr int serverCount = 6;
constexpr int modelCount = 12;
// Twelve models of at most 20 MB with one adapter each fit on five servers with free memory left.
constexpr Megabytes memory(80);
constexpr Megabytes adapterMemory(2);
// Time to place a model again: the report timeout, the next plan, an order that times out and is
// sent again, the lifetime of pending orders on an engine that ignores fencing tokens, and a load;
// each with the reports in between.
constexpr Duration replaceTime = 6s;
constexpr int faultySteps = 600;
constexpr int faultFreeSteps = 200;
constexpr int seedCount = 150;

class Schedule
{
public:
    explicit Schedule(std::uint64_t seed) : m_random(seed)
    {
        for (int i = 0; i < serverCount; ++i)
            addServer("server-" + std::to_string(i), "zone-" + std::to_string(i % 3));
        for (int i = 0; i < modelCount; ++i)
            addModel("model-" + std::to_string(i));
    }

    void run()
    {
        for (int i = 0; i < faultySteps; ++i)
            advance(i, true);
        for (int i = 0; i < faultFreeSteps; ++i)
            advance(i, false);
    }

    std::string failure; // first violated requirement

    bool allModelsAvailable() const
    {
        for (const auto &[name, model] : m_list.models) {
            if (!isAvailable(name.text(), model.version))
                return false;
        }
        return true;
    }

private:
    struct Server
    {
        std::unique_ptr<FakeEngine> engine;
        std::unique_ptr<EngineReconciler> reconciler;
        ZoneName zone;
        bool isUp = true;
        std::int64_t epoch = 0;
        bool checksFencing = false;
        std::optional<Instant> orderEndsAt;
        bool hasResponse = false;
        // The state that the planner knows:
        Instant reportedAt;
        std::map<std::string, std::string> ready;
        int appliedPlan = 0;
    };

    int number(int low, int high)
    {
        return std::uniform_int_distribution<int>(low, high)(m_random);
    }
    bool chance(int perMille) { return number(0, 999) < perMille; }

    void addServer(const std::string &name, const std::string &zone)
    {
        Server server;
        server.zone = ZoneName(zone);
        server.checksFencing = number(0, 1) == 1;
        server.engine = std::make_unique<FakeEngine>(memory, server.checksFencing, loadTime);
        m_servers[ServerName(name)] = std::move(server);
        startAgent(m_servers[ServerName(name)]);
    }

    void startAgent(Server &server)
    {
        server.reconciler = std::make_unique<EngineReconciler>(
            EngineReconciler::Limits{memory, orderTimeout, orderTimeout, Duration()});
        server.reconciler->applyFencingGrant({++server.epoch, server.checksFencing, Instant::max()},
                                             m_now);
        server.orderEndsAt.reset();
        server.appliedPlan = 0;
    }

    void addModel(const std::string &name)
    {
        ModelEntry model;
        model.name = ModelName(name);
        model.version = "1";
        model.memory = Megabytes(number(4, 20));
        m_list.models[model.name] = model;
        AdapterEntry adapter;
        adapter.name = AdapterName("adapter-of-" + name);
        adapter.base = model.name;
        adapter.version = "1";
        adapter.memory = adapterMemory;
        m_list.adapters[adapter.name] = adapter;
    }

    void advance(int i, bool faults)
    {
        m_now += step;
        if (faults)
            injectFaults();
        for (auto &[name, server] : m_servers)
            runAgent(server, faults);
        if (i % planInterval == 0)
            plan();
        check();
    }

    void injectFaults()
    {
        if (chance(30)) {
            ModelEntry &model = m_list.models[ModelName("model-" + std::to_string(number(0, 11)))];
            model.version = std::to_string(std::stoi(model.version) + 1);
        }
        if (chance(30)) {
            const ModelName name("model-" + std::to_string(number(0, 11)));
            m_wantedReplicas[name] = static_cast<std::size_t>(number(1, 4));
        }
        // At most one server at a time is lost.
        if (!m_lostServer.isEmpty() && m_now >= m_returnsAt) {
            Server &server = m_servers[m_lostServer];
            server.isUp = true;
            startAgent(server);
            m_lostServer = ServerName();
        } else if (m_lostServer.isEmpty() && chance(5)) {
            m_lostServer = ServerName("server-" + std::to_string(number(0, serverCount - 1)));
            m_servers[m_lostServer].isUp = false;
            m_servers[m_lostServer].engine->restart();
            m_lostAt = m_now;
            m_returnsAt = m_now + Duration(std::chrono::seconds(number(1, 15)));
        }
    }

    void runAgent(Server &server, bool faults)
    {
        if (!server.isUp)
            return;
        if (server.orderEndsAt && *server.orderEndsAt <= m_now) {
            server.orderEndsAt.reset();
            server.reconciler->onOrderEnded(server.hasResponse, m_now);
        }
        server.reconciler->applyReport(server.engine->report(m_now), m_now, m_now);
        if (const auto order
            = server.reconciler->nextOrder(m_now, [](const auto &) { return 0U; })) {
            const bool lost = faults && chance(50);
            if (!lost)
                server.engine->execute(*order, m_now);
            server.hasResponse = !lost && !(faults && chance(50));
            server.orderEndsAt = m_now + (server.hasResponse ? step : orderTimeout);
        }
        if (faults && chance(50))
            return; // The report is lost.
        server.reportedAt = m_now;
        server.ready.clear();
        const auto available = server.reconciler->availableTargets();
        for (const HostedModel &it : server.reconciler->reportedModels()) {
            if (available.contains(it.name))
                server.ready[it.name] = it.version;
        }
        if (server.appliedPlan == m_planNumber)
            return;
        server.appliedPlan = m_planNumber;
        server.reconciler->setPlan(m_plan.modelsOn(nameOf(server), m_list));
    }

    ServerName nameOf(const Server &server) const
    {
        for (const auto &[name, it] : m_servers) {
            if (&it == &server)
                return name;
        }
        return ServerName();
    }

    void plan()
    {
        PlacementInput input;
        input.list = &m_list;
        input.maxLoadsInFlight = 2;
        input.wantedReplicas = m_wantedReplicas;
        for (const auto &[name, server] : m_servers) {
            const bool usable = m_now - server.reportedAt <= reportTimeout;
            input.servers[name] = {server.zone, memory, usable, server.ready};
        }
        PlacementPlanner planner(input);
        const PlacementPlan next = planner.nextPlan(m_plan);
        if (next != m_plan)
            ++m_planNumber;
        m_plan = next;
        if (!planner.unplaced().empty())
            fail("a model is not placed though it fits");
    }

    bool isAvailable(const std::string &model, const std::string &version) const
    {
        return std::any_of(m_servers.begin(), m_servers.end(), [&](const auto &entry) {
            const Server &server = entry.second;
            if (!server.isUp || !server.reconciler->availableTargets().contains(model))
                return false;
            const auto &loadedModels = server.reconciler->reportedModels();
            return version.empty()
                || std::any_of(loadedModels.begin(), loadedModels.end(), [&](const auto &it) {
                       return it.name == model && it.version == version;
                   });
        });
    }

    void check()
    {
        for (const auto &[name, server] : m_servers) {
            if (server.engine->overcommitted)
                fail("overcommitted");
        }
        for (const auto &[name, model] : m_list.models) {
            const bool available = isAvailable(name.text(), "");
            bool &wasAvailable = m_wasAvailable[name];
            if (wasAvailable && !available && m_now > m_lostAt + replaceTime)
                fail(name.text() + " is not available");
            wasAvailable = wasAvailable || available;
        }
    }

    void fail(const std::string &message)
    {
        if (failure.empty())
            failure = message + " at " + std::to_string((m_now - Instant()).count()) + " us";
    }

    std::mt19937_64 m_random;
    Instant m_now{};
    ServiceList m_list;
    std::map<ServerName, Server> m_servers;
    std::map<ModelName, std::size_t> m_wantedReplicas;
    std::map<ModelName, bool> m_wasAvailable;
    PlacementPlan m_plan;
    int m_planNumber = 0;
    ServerName m_lostServer;
    Instant m_lostAt = Instant() - std::chrono::hours(1);
    Instant m_returnsAt;
};

TEST(PlacementScheduleTest, everyModelStaysAvailable)
{
    std::cout << "seeds 1 to " << seedCount << '\n';
    for (std::uint64_t seed = 1; seed <= seedCount; ++seed) {
        Schedule schedule(seed);
        schedule.run();
        ASSERT_EQ(schedule.failure, "") << "seed " << seed;
        ASSERT_TRUE(schedule.allModelsAvailable()) << "seed " << seed;
    }
}

} // namespace

} // namespace quetzalyoke::test
