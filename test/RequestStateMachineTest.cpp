#include "Core/Requests/RequestStateMachine.h"

#include <gtest/gtest.h>

#include <iostream>
#include <map>
#include <random>
#include <set>

using namespace quetzalyoke;

namespace {

constexpr int scheduleCount = 4000;

// Agents that accept an attempt id once, on a network that loses calls and responses.
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
    void expectIncarnation(int incarnation) { m_expectedIncarnation = incarnation; }
    int runs() const { return m_runs; }
    bool chance(double probability)
    {
        return std::uniform_real_distribution<double>(0, 1)(m_random) < probability;
    }

private:
    Reply receive(int agent, int attempt)
    {
        const auto key = std::pair(agent, attempt);
        if (m_incarnations[agent] != m_expectedIncarnation)
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
    int m_expectedIncarnation = 0;
    std::set<std::pair<int, int>> m_refused;
    std::map<std::pair<int, int>, Reply> m_ran;
    int m_runs = 0;
};

struct Outcome
{
    bool delivered = false;
    Refusal refusal;
    int runs = 0;
};

Outcome runSchedule(std::uint64_t seed, bool idempotent)
{
    std::mt19937_64 random(seed);
    FakeAgents agents(random);
    const Instant now{};
    RequestStateMachine machine(idempotent, now + std::chrono::seconds(10),
                                RequestStateMachine::Limits(),
                                [&agents] { return !agents.chance(0.2); });
    using Step = RequestStateMachine::Step;
    int agent = -1;
    int attempt = 0;
    Step step = machine.start();
    while (step != Step::DeliverResponse && step != Step::Refuse) {
        if (step == Step::ChooseServer) {
            ++agent;
            step = agents.chance(0.1) ? machine.onNoServerAvailable() : machine.onServerChosen();
            agents.expectIncarnation(agents.incarnation(agent));
            continue;
        }
        if (step == Step::AwaitResponse) {
            const int event = std::uniform_int_distribution<int>(0, 2)(random);
            step = event == 0 ? machine.onResponseStarted()
                : event == 1  ? machine.onDeadline(RunState::Unknown)
                              : machine.onConnectionLost("lost");
            continue;
        }
        if (step == Step::Submit)
            ++attempt;
        if (agents.chance(0.1)) {
            step = machine.onConnectFailed("refused");
            continue;
        }
        agents.maybeRestart(agent);
        switch (agents.submit(agent, attempt)) {
        case FakeAgents::Reply::Lost:
            step = machine.onConnectionLost("lost");
            break;
        case FakeAgents::Reply::Accepted:
            step = machine.onAccepted(now);
            break;
        case FakeAgents::Reply::ResponseBegan:
            step = machine.onResponseStarted();
            break;
        case FakeAgents::Reply::RefusedNotRun:
            step = machine.onRefused({503, "full", "full", RunState::NotRun, {}});
            break;
        case FakeAgents::Reply::RefusedUnknown:
            step = machine.onRefused({503, "failed", "failed", RunState::Unknown, {}});
            break;
        case FakeAgents::Reply::Restarted:
            step = machine.onAgentRestarted();
            break;
        }
    }
    return {step == Step::DeliverResponse, machine.refusal(), agents.runs()};
}

} // namespace

TEST(RequestStateMachineTest, reportsNotRunOnlyForRequestsThatNeverRan)
{
    int notRun = 0;
    for (std::uint64_t seed = 1; seed <= scheduleCount; ++seed) {
        for (const bool idempotent : {true, false}) {
            const Outcome outcome = runSchedule(seed, idempotent);
            if (outcome.delivered || outcome.refusal.runState != RunState::NotRun)
                continue;
            ++notRun;
            ASSERT_EQ(outcome.runs, 0) << "seed " << seed << " idempotent " << idempotent;
        }
    }
    std::cout << "seeds 1.." << scheduleCount << ", refused as not run: " << notRun << '\n';
    EXPECT_GT(notRun, 0);
}

TEST(RequestStateMachineTest, runsNonIdempotentRequestsAtMostOnce)
{
    int ran = 0;
    for (std::uint64_t seed = 1; seed <= scheduleCount; ++seed) {
        const Outcome outcome = runSchedule(seed, false);
        ASSERT_LE(outcome.runs, 1) << "seed " << seed;
        ran += outcome.runs;
    }
    std::cout << "seeds 1.." << scheduleCount << ", ran once: " << ran << '\n';
    EXPECT_GT(ran, 0);
}

TEST(RequestStateMachineTest, retriesIdempotentRequestsOnAnotherServer)
{
    RequestStateMachine machine(true, Instant() + std::chrono::seconds(1),
                                RequestStateMachine::Limits(), [] { return true; });
    EXPECT_EQ(machine.start(), RequestStateMachine::Step::ChooseServer);
    EXPECT_EQ(machine.onServerChosen(), RequestStateMachine::Step::Submit);
    const Refusal failed{503, "failed", "failed", RunState::Unknown, {}};
    EXPECT_EQ(machine.onRefused(failed), RequestStateMachine::Step::ChooseServer);
    EXPECT_EQ(machine.onNoServerAvailable(), RequestStateMachine::Step::Refuse);
    EXPECT_EQ(machine.refusal().runState, RunState::Unknown);
}

TEST(RequestStateMachineTest, refusesWhenTheRetryBudgetIsEmpty)
{
    RequestStateMachine machine(true, Instant() + std::chrono::seconds(1),
                                RequestStateMachine::Limits(), [] { return false; });
    machine.start();
    machine.onServerChosen();
    EXPECT_EQ(machine.onConnectFailed("refused"), RequestStateMachine::Step::Refuse);
    EXPECT_EQ(machine.refusal().runState, RunState::NotRun);
    EXPECT_GT(machine.refusal().retryAfter.count(), 0);
}
