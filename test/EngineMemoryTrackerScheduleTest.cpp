// Runs random schedules with agents that control one engine. Orders are delayed, lost, duplicated
// and reordered; agents restart, and two may run at once; the engine restarts; plans change;
// reports show an older state of the engine; the size of a version changes. Checks that no order
// exceeds the engine's memory, that no order of the newest agent unloads a model with requests in
// flight at that agent, and that the engine has the planned models loaded after the faults end.

#include "Core/Placement/EngineReconciler.h"
#include "FakeEngine.h"

#include <gtest/gtest.h>

#include <deque>
#include <memory>
#include <random>

namespace quetzalyoke::test {

namespace {

using namespace std::chrono_literals;

constexpr Duration step = 50ms;
constexpr Duration orderLifetime = 2s;
// How long an agent's grant is valid on an engine that ignores fencing tokens.
constexpr Duration grantValidity = 1s;
constexpr Duration predecessorWait = orderLifetime + grantValidity;
constexpr Duration loadTime = 300ms;
constexpr Duration reportLag = 400ms;
constexpr Megabytes memory(100);
constexpr int models = 5;
constexpr int faultySteps = 600;
constexpr int faultFreeSteps = 1200;
constexpr int seeds = 2000;

struct EngineTraits
{
    bool checksFencing = false; // the engine refuses old fencing tokens
    bool reportsLag = false; // reports show models as of up to reportLag ago
    bool changesSizeOnly = false; // a model's size changes, but not its version
};

class Schedule
{
public:
    Schedule(std::uint64_t seed, const EngineTraits &traits)
        : m_random(seed), m_traits(traits), m_engine(memory, traits.checksFencing, loadTime),
          m_delayPercent(number(10, 70)), m_changePercent(number(1, 20))
    {
        // A successor immediately serves the models that the engine has loaded, so that models
        // stay available when an agent restarts. A delayed order of its predecessor may still
        // interrupt a request, which is not counted here.
        m_engine.onUnload = [this](const EngineOrder &order) {
            Agent &newest = m_agents.back();
            const bool isFromNewest = order.fencingToken.count() >> 24 == newest.epoch;
            m_hasInterruptedRequest = m_hasInterruptedRequest
                || (isFromNewest && newest.inFlight[order.model.name] > 0);
        };
        changePlan();
        startAgent();
    }

    void run()
    {
        for (int i = 0; i < faultySteps; ++i)
            advance(true);
        m_agents.erase(m_agents.begin(), m_agents.end() - 1);
        for (int i = 0; i < faultFreeSteps; ++i)
            advance(false);
    }

    bool overcommitted() const { return m_engine.overcommitted; }
    bool hasInterruptedRequest() const { return m_hasInterruptedRequest; }
    bool hasPlannedModels() const
    {
        return m_agents.back().reconciler->availableTargets().size() == m_wanted.size();
    }

private:
    struct Agent
    {
        std::unique_ptr<EngineReconciler> reconciler;
        std::int64_t epoch = 0;
        std::map<std::string, std::size_t> inFlight;
        std::optional<Instant> orderEndsAt; // end of the pending order
        bool hasResponse = false;
    };
    struct DelayedOrder
    {
        EngineOrder order;
        Instant arrivesAt;
    };

    bool chance(int percent) { return number(0, 99) < percent; }
    int number(int low, int high)
    {
        return std::uniform_int_distribution<int>(low, high)(m_random);
    }

    void advance(bool faults)
    {
        m_now += step;
        deliverDueOrders();
        m_reports.push_front(m_engine.report(m_now));
        m_reports.resize(std::min<std::size_t>(m_reports.size(), reportLag / step));
        if (faults)
            injectFaults();
        for (Agent &it : m_agents)
            runAgent(it, faults);
    }

    void injectFaults()
    {
        if (chance(m_changePercent))
            changePlan();
        if (chance(1))
            startAgent();
        if (chance(1) && m_agents.size() > 1)
            m_agents.erase(m_agents.begin());
        if (chance(1))
            restartEngine();
    }

    void restartEngine()
    {
        m_engine.restart();
        m_delayedOrders.clear(); // Its connections are closed.
    }

    void changePlan()
    {
        m_wanted.clear();
        Megabytes freeMemory = memory;
        for (int i = 0; i < models; ++i) {
            const Megabytes size(number(10, 90));
            if (size > freeMemory)
                continue;
            freeMemory -= size;
            const std::string version
                = m_traits.changesSizeOnly ? "1" : std::to_string(size.count());
            m_wanted.push_back({"model-" + std::to_string(i), version, size, false, false});
        }
        for (Agent &it : m_agents)
            it.reconciler->setPlan(m_wanted);
    }

    void startAgent()
    {
        Agent agent;
        agent.reconciler = std::make_unique<EngineReconciler>(
            EngineReconciler::Limits{Megabytes(), orderLifetime, predecessorWait,
                                     m_traits.reportsLag ? reportLag : Duration()});
        agent.epoch = ++m_epoch;
        agent.reconciler->applyFencingGrant(
            {agent.epoch, m_traits.checksFencing, m_now + grantValidity}, m_now);
        agent.reconciler->setPlan(m_wanted);
        m_agents.push_back(std::move(agent));
    }

    void runAgent(Agent &agent, bool faults)
    {
        if (faults && chance(20))
            return; // The agent is paused.
        if (agent.epoch == m_epoch)
            agent.reconciler->applyFencingGrant(
                {agent.epoch, m_traits.checksFencing, m_now + grantValidity}, m_now);
        else if (chance(10))
            agent.reconciler->onSuperseded();
        if (agent.orderEndsAt && *agent.orderEndsAt <= m_now) {
            agent.orderEndsAt.reset();
            agent.reconciler->onOrderEnded(agent.hasResponse, m_now);
        }
        if (!faults || chance(70))
            agent.reconciler->applyReport(report(), m_now, m_now);
        serve(agent);
        const auto inFlight = [&agent](const std::string &name) { return agent.inFlight[name]; };
        if (const auto order = agent.reconciler->nextOrder(m_now, inFlight))
            send(agent, *order, faults);
    }

    // The fencing token is always current, even if the models in the report are not.
    EngineReport report()
    {
        const EngineReport current = m_engine.report(m_now);
        if (!m_traits.reportsLag)
            return current;
        EngineReport report = m_reports[std::size_t(number(0, int(m_reports.size()) - 1))];
        report.highestFencingToken = current.highestFencingToken;
        return report;
    }

    void serve(Agent &agent)
    {
        for (auto &[name, n] : agent.inFlight) {
            if (n > 0 && chance(20))
                --n;
        }
        // Only requests of the newest agent are checked for interruption. An older agent that
        // doesn't know yet that it was superseded offers the models that it saw last, which orders
        // of the newest agent may unload.
        for (const std::string &it : agent.reconciler->availableTargets()) {
            if (agent.epoch == m_epoch && chance(20))
                ++agent.inFlight[it];
        }
    }

    void send(Agent &agent, const EngineOrder &order, bool faults)
    {
        const bool isDelayed = faults && chance(m_delayPercent);
        const bool isLost = faults && chance(10);
        const bool isDuplicated = faults && order.kind == EngineOrder::Kind::Load && chance(20);
        const auto randomDelay
            = [this] { return Duration(number(0, int(orderLifetime.count()) - 1)); };
        if (!isDelayed && !isLost)
            m_engine.execute(order, m_now);
        if (isDelayed && !isLost)
            m_delayedOrders.push_back({order, m_now + randomDelay()});
        if (isDuplicated)
            m_delayedOrders.push_back({order, m_now + randomDelay()});
        agent.hasResponse = !isDelayed && !isLost && !(faults && chance(10));
        agent.orderEndsAt = m_now + (agent.hasResponse ? Duration(step) : Duration(500ms));
    }

    void deliverDueOrders()
    {
        std::shuffle(m_delayedOrders.begin(), m_delayedOrders.end(), m_random);
        for (const DelayedOrder &it : m_delayedOrders) {
            if (it.arrivesAt <= m_now)
                m_engine.execute(it.order, m_now);
        }
        std::erase_if(m_delayedOrders,
                      [this](const DelayedOrder &it) { return it.arrivesAt <= m_now; });
    }

    std::mt19937_64 m_random;
    EngineTraits m_traits;
    FakeEngine m_engine;
    std::deque<EngineReport> m_reports; // newest first, one per step
    int m_delayPercent;
    int m_changePercent;
    Instant m_now{};
    std::int64_t m_epoch = 0;
    std::vector<HostedModel> m_wanted;
    std::vector<Agent> m_agents;
    std::vector<DelayedOrder> m_delayedOrders;
    bool m_hasInterruptedRequest = false;
};

void runSchedules(const EngineTraits &traits)
{
    std::cout << "seeds 1 to " << seeds << '\n';
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        Schedule schedule(seed, traits);
        schedule.run();
        ASSERT_FALSE(schedule.overcommitted()) << "seed " << seed;
        ASSERT_FALSE(schedule.hasInterruptedRequest()) << "seed " << seed;
        ASSERT_TRUE(schedule.hasPlannedModels()) << "seed " << seed;
    }
}

TEST(EngineMemoryTrackerScheduleTest, engineThatChecksFencingNumbers)
{
    runSchedules({.checksFencing = true});
}

TEST(EngineMemoryTrackerScheduleTest, engineThatIgnoresFencingNumbers)
{
    runSchedules({});
}

TEST(EngineMemoryTrackerScheduleTest, reportsThatLagOfAnEngineThatChecks)
{
    runSchedules({.checksFencing = true, .reportsLag = true});
}

TEST(EngineMemoryTrackerScheduleTest, reportsThatLagOfAnEngineThatIgnores)
{
    runSchedules({.reportsLag = true});
}

TEST(EngineMemoryTrackerScheduleTest, sizesThatChangeUnderOneVersion)
{
    runSchedules({.checksFencing = true, .changesSizeOnly = true});
    runSchedules({.checksFencing = false, .reportsLag = true, .changesSizeOnly = true});
}

} // namespace

} // namespace quetzalyoke::test
