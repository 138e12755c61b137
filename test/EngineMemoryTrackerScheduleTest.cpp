// Random schedules over agents that keep one engine: orders late, lost, doubled and reordered,
// agents restarted and two at once, the engine restarted, plans changed, reports that show the
// engine as it was before, sizes that change under one version. Whatever happens, no
// order reaches the engine that its memory can't take, no order of the newest agent takes away a
// model under one of its requests, and once faults end the engine holds what the plan wants.

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
constexpr Duration authority = 1s; // of an agent on an engine that ignores fencing numbers
constexpr Duration predecessorWait = orderLifetime + authority;
constexpr Duration loadTime = 300ms;
constexpr Duration reportLag = 400ms;
constexpr Megabytes memory(100);
constexpr int models = 5;
constexpr int faultySteps = 600;
constexpr int quietSteps = 1200;
constexpr int seeds = 2000;

struct Kind
{
    bool isChecked = false; // the engine refuses old fencing numbers
    bool lags = false; // its reports show holdings of up to reportLag ago
    bool keepsVersions = false; // a model's size changes, its version doesn't
};

class Schedule
{
public:
    Schedule(std::uint64_t seed, const Kind &kind)
        : m_random(seed), m_kind(kind), m_engine(memory, kind.isChecked, loadTime),
          m_latePercent(number(10, 70)), m_changePercent(number(1, 20))
    {
        // A successor serves at once what the engine holds, so that a restart costs no model its
        // reachability; an order that its predecessor still had on the way may cut a request.
        m_engine.onUnload = [this](const EngineOrder &order) {
            Agent &newest = m_agents.back();
            const bool own = order.fencingToken.count() >> 24 == newest.epoch;
            m_cutRequest = m_cutRequest || (own && newest.inFlight[order.model.name] > 0);
        };
        changePlan();
        startAgent();
    }

    void run()
    {
        for (int i = 0; i < faultySteps; ++i)
            advance(true);
        m_agents.erase(m_agents.begin(), m_agents.end() - 1);
        for (int i = 0; i < quietSteps; ++i)
            advance(false);
    }

    bool overcommitted() const { return m_engine.overcommitted; }
    bool cutRequest() const { return m_cutRequest; }
    bool holdsPlan() const
    {
        return m_agents.back().keeper->availableTargets().size() == m_wanted.size();
    }

private:
    struct Agent
    {
        std::unique_ptr<EngineReconciler> keeper;
        std::int64_t epoch = 0;
        std::map<std::string, std::size_t> inFlight;
        std::optional<Instant> responseAt; // of the order that is out
        bool answered = false;
    };
    struct Message
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
        deliver();
        m_reports.push_front(m_engine.report(m_now));
        m_reports.resize(std::min<std::size_t>(m_reports.size(), reportLag / step));
        if (faults)
            makeTrouble();
        for (Agent &it : m_agents)
            act(it, faults);
    }

    void makeTrouble()
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
        m_messages.clear(); // its connections are gone
    }

    void changePlan()
    {
        m_wanted.clear();
        Megabytes left = memory;
        for (int i = 0; i < models; ++i) {
            const Megabytes size(number(10, 90));
            if (size > left)
                continue;
            left -= size;
            const std::string version = m_kind.keepsVersions ? "1" : std::to_string(size.count());
            m_wanted.push_back({"model-" + std::to_string(i), version, size, false, false});
        }
        for (Agent &it : m_agents)
            it.keeper->setPlan(m_wanted);
    }

    void startAgent()
    {
        Agent agent;
        agent.keeper = std::make_unique<EngineReconciler>(EngineReconciler::Limits{
            Megabytes(), orderLifetime, predecessorWait, m_kind.lags ? reportLag : Duration()});
        agent.epoch = ++m_epoch;
        agent.keeper->applyFencingGrant({agent.epoch, m_kind.isChecked, m_now + authority}, m_now);
        agent.keeper->setPlan(m_wanted);
        m_agents.push_back(std::move(agent));
    }

    void act(Agent &agent, bool faults)
    {
        if (faults && chance(20))
            return; // paused
        if (agent.epoch == m_epoch)
            agent.keeper->applyFencingGrant({agent.epoch, m_kind.isChecked, m_now + authority},
                                            m_now);
        else if (chance(10))
            agent.keeper->onSuperseded();
        if (agent.responseAt && *agent.responseAt <= m_now) {
            agent.responseAt.reset();
            agent.keeper->onOrderEnded(agent.answered, m_now);
        }
        if (!faults || chance(70))
            agent.keeper->applyReport(report(), m_now, m_now);
        serve(agent);
        const auto inFlight = [&agent](const std::string &name) { return agent.inFlight[name]; };
        if (const auto order = agent.keeper->nextOrder(m_now, inFlight))
            send(agent, *order, faults);
    }

    // The counts of orders are as of now also where the holdings lag.
    EngineReport report()
    {
        const EngineReport current = m_engine.report(m_now);
        if (!m_kind.lags)
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
        // Only the newest agent's requests are checked for cuts: an older one that doesn't know
        // yet that it was replaced offers what it saw last, which no order of its own protects.
        for (const std::string &it : agent.keeper->availableTargets()) {
            if (agent.epoch == m_epoch && chance(20))
                ++agent.inFlight[it];
        }
    }

    void send(Agent &agent, const EngineOrder &order, bool faults)
    {
        const bool late = faults && chance(m_latePercent);
        const bool lost = faults && chance(10);
        const bool loadTwice = faults && order.kind == EngineOrder::Kind::Load && chance(20);
        const auto lateBy = [this] { return Duration(number(0, int(orderLifetime.count()) - 1)); };
        if (!late && !lost)
            m_engine.execute(order, m_now);
        if (late && !lost)
            m_messages.push_back({order, m_now + lateBy()});
        if (loadTwice)
            m_messages.push_back({order, m_now + lateBy()});
        agent.answered = !late && !lost && !(faults && chance(10));
        agent.responseAt = m_now + (agent.answered ? Duration(step) : Duration(500ms));
    }

    void deliver()
    {
        std::shuffle(m_messages.begin(), m_messages.end(), m_random);
        for (const Message &it : m_messages) {
            if (it.arrivesAt <= m_now)
                m_engine.execute(it.order, m_now);
        }
        std::erase_if(m_messages, [this](const Message &it) { return it.arrivesAt <= m_now; });
    }

    std::mt19937_64 m_random;
    Kind m_kind;
    FakeEngine m_engine;
    std::deque<EngineReport> m_reports; // the newest first, one a step
    int m_latePercent;
    int m_changePercent;
    Instant m_now{};
    std::int64_t m_epoch = 0;
    std::vector<HostedModel> m_wanted;
    std::vector<Agent> m_agents;
    std::vector<Message> m_messages;
    bool m_cutRequest = false;
};

void runSchedules(const Kind &kind)
{
    std::cout << "seeds 1 to " << seeds << '\n';
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        Schedule schedule(seed, kind);
        schedule.run();
        ASSERT_FALSE(schedule.overcommitted()) << "seed " << seed;
        ASSERT_FALSE(schedule.cutRequest()) << "seed " << seed;
        ASSERT_TRUE(schedule.holdsPlan()) << "seed " << seed;
    }
}

TEST(EngineMemoryTrackerScheduleTest, engineThatChecksFencingNumbers)
{
    runSchedules({.isChecked = true});
}

TEST(EngineMemoryTrackerScheduleTest, engineThatIgnoresFencingNumbers)
{
    runSchedules({});
}

TEST(EngineMemoryTrackerScheduleTest, reportsThatLagOfAnEngineThatChecks)
{
    runSchedules({.isChecked = true, .lags = true});
}

TEST(EngineMemoryTrackerScheduleTest, reportsThatLagOfAnEngineThatIgnores)
{
    runSchedules({.lags = true});
}

TEST(EngineMemoryTrackerScheduleTest, sizesThatChangeUnderOneVersion)
{
    runSchedules({.isChecked = true, .keepsVersions = true});
    runSchedules({.isChecked = false, .lags = true, .keepsVersions = true});
}

} // namespace

} // namespace quetzalyoke::test
