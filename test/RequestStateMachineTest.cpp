#include "Core/Requests/RequestStateMachine.h"

#include <gtest/gtest.h>

#include <iostream>
#include <map>
#include <random>
#include <set>

using namespace quetzalyoke;

namespace {

constexpr int scheduleCount = 4000;

// Agents that accept an attempt id once, with a network that loses calls and answers.
class FakeAgents
{
public:
    explicit FakeAgents(std::mt19937_64 &random) : m_random(random) { }

    enum class Reply { Lost, Accepted, ResponseBegan, RefusedNotRun, RefusedUnknown, Restarted };

    Reply submit(int agent, int attempt)
    {
        const bool arrives = !chance(0.2);
        Reply reply = Reply::Lost;
        if (arrives)
            reply = receive(agent, attempt);
        return chance(0.2) ? Reply::Lost : reply;
    }

    void maybeRestart(int agent)
    {
        if (chance(0.1))
            ++m_incarnations[agent];
    }

    int incarnation(int agent) { return m_incarnations[agent]; }
    void expectIncarnation(int incarnation) { m_expected = incarnation; }
    int runs() const { return m_runs; }
    bool chance(double probability)
    {
        return std::uniform_real_distribution<double>(0, 1)(m_random) < probability;
    }

private:
    Reply receive(int agent, int attempt)
    {
        const auto key = std::pair(agent, attempt);
        if (m_incarnations[agent] != m_expected)
            return Reply::Restarted;
        if (m_refused.contains(key))
            return Reply::RefusedNotRun;
        if (m_ran.contains(key))
            return m_ran[key];
        if (chance(0.3)) {
            m_refused.insert(key);
            return Reply::RefusedNotRun;
        }
        ++m_runs;
        const Reply outcomes[] = {Reply::ResponseBegan, Reply::Accepted, Reply::RefusedUnknown};
        m_ran[key] = outcomes[std::uniform_int_distribution<int>(0, 2)(m_random)];
        return m_ran[key];
    }

    std::mt19937_64 &m_random;
    std::map<int, int> m_incarnations;
    int m_expected = 0;
    std::set<std::pair<int, int>> m_refused;
    std::map<std::pair<int, int>, Reply> m_ran;
    int m_runs = 0;
};

struct Ending
{
    bool delivered = false;
    Refusal refusal;
    int runs = 0;
};

Ending runSchedule(std::uint64_t seed, bool idempotent)
{
    std::mt19937_64 random(seed);
    FakeAgents agents(random);
    const Instant now{};
    RequestStateMachine flow(idempotent, now + std::chrono::seconds(10),
                             RequestStateMachine::Limits(),
                             [&agents] { return !agents.chance(0.2); });
    using Step = RequestStateMachine::Step;
    int agent = -1;
    int attempt = 0;
    Step step = flow.start();
    while (step != Step::DeliverResponse && step != Step::Refuse) {
        if (step == Step::ChooseServer) {
            ++agent;
            step = agents.chance(0.1) ? flow.onNoServerAvailable() : flow.onServerChosen();
            agents.expectIncarnation(agents.incarnation(agent));
            continue;
        }
        if (step == Step::AwaitResponse) {
            const int event = std::uniform_int_distribution<int>(0, 2)(random);
            step = event == 0 ? flow.onResponseStarted()
                : event == 1  ? flow.onDeadline(RunState::Unknown)
                              : flow.onConnectionLost("lost");
            continue;
        }
        if (step == Step::Submit)
            ++attempt;
        if (agents.chance(0.1)) {
            step = flow.onConnectFailed("refused");
            continue;
        }
        agents.maybeRestart(agent);
        switch (agents.submit(agent, attempt)) {
        case FakeAgents::Reply::Lost:
            step = flow.onConnectionLost("lost");
            break;
        case FakeAgents::Reply::Accepted:
            step = flow.onAccepted(now);
            break;
        case FakeAgents::Reply::ResponseBegan:
            step = flow.onResponseStarted();
            break;
        case FakeAgents::Reply::RefusedNotRun:
            step = flow.onRefused({503, "full", "full", RunState::NotRun, {}});
            break;
        case FakeAgents::Reply::RefusedUnknown:
            step = flow.onRefused({503, "failed", "failed", RunState::Unknown, {}});
            break;
        case FakeAgents::Reply::Restarted:
            step = flow.onAgentRestarted();
            break;
        }
    }
    return {step == Step::DeliverResponse, flow.refusal(), agents.runs()};
}

} // namespace

TEST(RequestStateMachineTest, saysNotRunOnlyOfRequestsThatNeverRan)
{
    int notRun = 0;
    for (std::uint64_t seed = 1; seed <= scheduleCount; ++seed) {
        for (const bool idempotent : {true, false}) {
            const Ending ending = runSchedule(seed, idempotent);
            if (ending.delivered || ending.refusal.runState != RunState::NotRun)
                continue;
            ++notRun;
            ASSERT_EQ(ending.runs, 0) << "seed " << seed << " idempotent " << idempotent;
        }
    }
    std::cout << "seeds 1.." << scheduleCount << ", refused as not run: " << notRun << '\n';
    EXPECT_GT(notRun, 0);
}

TEST(RequestStateMachineTest, runsNonIdempotentRequestsAtMostOnce)
{
    int ran = 0;
    for (std::uint64_t seed = 1; seed <= scheduleCount; ++seed) {
        const Ending ending = runSchedule(seed, false);
        ASSERT_LE(ending.runs, 1) << "seed " << seed;
        ran += ending.runs;
    }
    std::cout << "seeds 1.." << scheduleCount << ", ran once: " << ran << '\n';
    EXPECT_GT(ran, 0);
}

TEST(RequestStateMachineTest, retriesIdempotentRequestsElsewhere)
{
    RequestStateMachine flow(true, Instant() + std::chrono::seconds(1),
                             RequestStateMachine::Limits(), [] { return true; });
    EXPECT_EQ(flow.start(), RequestStateMachine::Step::ChooseServer);
    EXPECT_EQ(flow.onServerChosen(), RequestStateMachine::Step::Submit);
    const Refusal failed{503, "failed", "failed", RunState::Unknown, {}};
    EXPECT_EQ(flow.onRefused(failed), RequestStateMachine::Step::ChooseServer);
    EXPECT_EQ(flow.onNoServerAvailable(), RequestStateMachine::Step::Refuse);
    EXPECT_EQ(flow.refusal().runState, RunState::Unknown);
}

TEST(RequestStateMachineTest, stopsWhenTheRetryBudgetIsSpent)
{
    RequestStateMachine flow(true, Instant() + std::chrono::seconds(1),
                             RequestStateMachine::Limits(), [] { return false; });
    flow.start();
    flow.onServerChosen();
    EXPECT_EQ(flow.onConnectFailed("refused"), RequestStateMachine::Step::Refuse);
    EXPECT_EQ(flow.refusal().runState, RunState::NotRun);
    EXPECT_GT(flow.refusal().retryAfter.count(), 0);
}
