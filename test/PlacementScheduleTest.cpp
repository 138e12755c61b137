// Random schedules over a planner, agents that carry out its plans, and their engines: servers
// lost and back, versions changed, demand moving, orders late and lost, reports missing. No
// engine's memory is overcommitted, and a model that could answer can always answer, unless a
// server with a copy of it was lost within the time that placing it anew takes.

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
constexpr Duration silence = 1s;
constexpr int planEvery = 3; // steps
constexpr int servers = 6;
constexpr int models = 12;
// Twelve models of at most 20 MB and an adapter each; five servers carry them with room to spare.
constexpr Megabytes memory(80);
constexpr Megabytes adapterMemory(2);
// Silence, the next plan, an order given up on and given again, waiting out what is in doubt on
// an engine that ignores numbers, and a load; each with the reports in between.
constexpr Duration replaceTime = 6s;
constexpr int faultySteps = 600;
constexpr int quietSteps = 200;
constexpr int seeds = 150;

class Schedule
{
public:
    explicit Schedule(std::uint64_t seed) : m_random(seed)
    {
        for (int i = 0; i < servers; ++i)
            addServer("server-" + std::to_string(i), "zone-" + std::to_string(i % 3));
        for (int i = 0; i < models; ++i)
            addModel("model-" + std::to_string(i));
    }

    void run()
    {
        for (int i = 0; i < faultySteps; ++i)
            advance(i, true);
        for (int i = 0; i < quietSteps; ++i)
            advance(i, false);
    }

    std::string fault; // first broken promise

    bool settled() const
    {
        for (const auto &[name, model] : m_list.models) {
            if (!isOffered(name.text(), model.version))
                return false;
        }
        return true;
    }

private:
    struct Server
    {
        std::unique_ptr<FakeEngine> engine;
        std::unique_ptr<EngineReconciler> keeper;
        ZoneName zone;
        bool up = true;
        std::int64_t epoch = 0;
        bool checked = false;
        std::optional<Instant> responseAt;
        bool answered = false;
        // As the planner knows it:
        Instant heardAt;
        std::map<std::string, std::string> ready;
        int planTaken = 0;
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
        server.checked = number(0, 1) == 1;
        server.engine = std::make_unique<FakeEngine>(memory, server.checked, loadTime);
        m_servers[ServerName(name)] = std::move(server);
        startAgent(m_servers[ServerName(name)]);
    }

    void startAgent(Server &server)
    {
        server.keeper = std::make_unique<EngineReconciler>(
            EngineReconciler::Limits{memory, orderTimeout, orderTimeout, Duration()});
        server.keeper->applyFencingGrant({++server.epoch, server.checked, Instant::max()}, m_now);
        server.responseAt.reset();
        server.planTaken = 0;
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
            makeTrouble();
        for (auto &[name, server] : m_servers)
            act(server, faults);
        if (i % planEvery == 0)
            plan();
        check();
    }

    void makeTrouble()
    {
        if (chance(30)) {
            ModelEntry &model = m_list.models[ModelName("model-" + std::to_string(number(0, 11)))];
            model.version = std::to_string(std::stoi(model.version) + 1);
        }
        if (chance(30)) {
            const ModelName name("model-" + std::to_string(number(0, 11)));
            m_wantedReplicas[name] = static_cast<std::size_t>(number(1, 4));
        }
        // One server at a time is away.
        if (!m_away.isEmpty() && m_now >= m_backAt) {
            Server &server = m_servers[m_away];
            server.up = true;
            startAgent(server);
            m_away = ServerName();
        } else if (m_away.isEmpty() && chance(5)) {
            m_away = ServerName("server-" + std::to_string(number(0, servers - 1)));
            m_servers[m_away].up = false;
            m_servers[m_away].engine->restart();
            m_lostAt = m_now;
            m_backAt = m_now + Duration(std::chrono::seconds(number(1, 15)));
        }
    }

    void act(Server &server, bool faults)
    {
        if (!server.up)
            return;
        if (server.responseAt && *server.responseAt <= m_now) {
            server.responseAt.reset();
            server.keeper->onOrderEnded(server.answered, m_now);
        }
        server.keeper->applyReport(server.engine->report(m_now), m_now, m_now);
        if (const auto order = server.keeper->nextOrder(m_now, [](const auto &) { return 0U; })) {
            const bool lost = faults && chance(50);
            if (!lost)
                server.engine->execute(*order, m_now);
            server.answered = !lost && !(faults && chance(50));
            server.responseAt = m_now + (server.answered ? step : orderTimeout);
        }
        if (faults && chance(50))
            return; // the report is lost
        server.heardAt = m_now;
        server.ready.clear();
        const auto offered = server.keeper->availableTargets();
        for (const HostedModel &it : server.keeper->reportedModels()) {
            if (offered.contains(it.name))
                server.ready[it.name] = it.version;
        }
        if (server.planTaken == m_planNumber)
            return;
        server.planTaken = m_planNumber;
        server.keeper->setPlan(m_plan.modelsOn(nameOf(server), m_list));
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
            const bool usable = m_now - server.heardAt <= silence;
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

    bool isOffered(const std::string &model, const std::string &version) const
    {
        return std::any_of(m_servers.begin(), m_servers.end(), [&](const auto &entry) {
            const Server &server = entry.second;
            if (!server.up || !server.keeper->availableTargets().contains(model))
                return false;
            const auto &held = server.keeper->reportedModels();
            return version.empty() || std::any_of(held.begin(), held.end(), [&](const auto &it) {
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
            const bool offered = isOffered(name.text(), "");
            bool &reached = m_reached[name];
            if (reached && !offered && m_now > m_lostAt + replaceTime)
                fail(name.text() + " can't be reached");
            reached = reached || offered;
        }
    }

    void fail(const std::string &message)
    {
        if (fault.empty())
            fault = message + " at " + std::to_string((m_now - Instant()).count()) + " us";
    }

    std::mt19937_64 m_random;
    Instant m_now{};
    ServiceList m_list;
    std::map<ServerName, Server> m_servers;
    std::map<ModelName, std::size_t> m_wantedReplicas;
    std::map<ModelName, bool> m_reached;
    PlacementPlan m_plan;
    int m_planNumber = 0;
    ServerName m_away;
    Instant m_lostAt = Instant() - std::chrono::hours(1);
    Instant m_backAt;
};

TEST(PlacementScheduleTest, everyModelStaysReachable)
{
    std::cout << "seeds 1 to " << seeds << '\n';
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        Schedule schedule(seed);
        schedule.run();
        ASSERT_EQ(schedule.fault, "") << "seed " << seed;
        ASSERT_TRUE(schedule.settled()) << "seed " << seed;
    }
}

} // namespace

} // namespace quetzalyoke::test
