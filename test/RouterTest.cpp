#include "Core/Routing/Router.h"
#include "Core/Error.h"

#include <gtest/gtest.h>

#include <iostream>
#include <map>

using namespace quetzalyoke;

namespace {

constexpr std::uint64_t seed = 11;
constexpr Duration reportTimeout = std::chrono::seconds(3);
const ZoneName zoneA("zone-a");
const ZoneName zoneB("zone-b");

class RouterTest : public testing::Test
{
protected:
    void SetUp() override { std::cout << "seed " << seed << "\n"; }

    void addAgent(const std::string &name, const ZoneName &zone, std::int64_t load,
                  const std::set<std::string> &targets)
    {
        AgentStatus status;
        status.instance = InstanceId(name);
        status.sequence = ++m_sequence;
        status.zone = zone;
        status.availableTargets = targets;
        status.running = load;
        status.capacity = 8;
        m_directory.update(status, m_now);
    }

    std::string pick(const std::string &policy, const RoutingRequest &request)
    {
        const auto *chosen = makeRoutingPolicy(policy)(request, m_directory, m_now, m_random);
        return chosen ? chosen->status.instance.text() : "";
    }

    static RoutingRequest modelRequest() { return {"m", "", zoneA, {}}; }

    std::int64_t m_sequence = 0;
    Instant m_now{std::chrono::hours(1)};
    AgentDirectory m_directory{reportTimeout};
    std::mt19937_64 m_random{seed};
};

const char *const policies[]
    = {"random", "round_robin", "least_loaded", "power_of_two", "affinity"};

} // namespace

TEST_F(RouterTest, EveryPolicyPicksOnlyReadyAvailableAndNotExcludedAgents)
{
    addAgent("ready", zoneB, 100, {"m"});
    addAgent("excluded", zoneA, 0, {"m"});
    addAgent("suspected", zoneA, 0, {"m"});
    m_directory.markUnreachable(InstanceId("suspected"));
    addAgent("other", zoneA, 0, {"n"});
    RoutingRequest request = modelRequest();
    request.excluded = {InstanceId("excluded")};
    request.promptPrefixHash = 5;
    for (const char *it : policies) {
        for (int i = 0; i < 50; ++i)
            EXPECT_EQ(pick(it, request), "ready") << it;
    }
    m_now += reportTimeout + Duration(1);
    for (const char *it : policies)
        EXPECT_EQ(pick(it, request), "") << it;
}

TEST_F(RouterTest, SkipsAgentsThatStopServingOrLeave)
{
    addAgent("first", zoneA, 0, {"m"});
    addAgent("second", zoneA, 0, {"m"});
    addAgent("first", zoneA, 0, {"n"});
    for (const char *it : policies)
        EXPECT_EQ(pick(it, modelRequest()), "second") << it;
    EXPECT_EQ(m_directory.agentsServing("n").all.size(), 1U);
    AgentStatus leaving = m_directory.agentsServing("m").all[0]->status;
    leaving.sequence = ++m_sequence;
    leaving.draining = true;
    m_directory.update(leaving, m_now);
    for (const char *it : policies)
        EXPECT_EQ(pick(it, modelRequest()), "") << it;
}

TEST_F(RouterTest, AdjustsTheReportedLoadByOwnAttempts)
{
    addAgent("a", zoneA, 2, {"m"});
    m_directory.adjustOwnLoad(InstanceId("a"), 3);
    const auto *agent = m_directory.agentsServing("m").all[0];
    EXPECT_EQ(agent->estimatedLoad(), 5);
    m_directory.updateReportedLoad(InstanceId("a"), 4);
    EXPECT_EQ(agent->estimatedLoad(), 4);
    m_directory.adjustOwnLoad(InstanceId("a"), -2);
    EXPECT_EQ(agent->estimatedLoad(), 2);
}

TEST_F(RouterTest, PrefersTheGatewaysZoneUntilItIsBusy)
{
    addAgent("near", zoneA, 0, {"m"});
    addAgent("far", zoneB, 0, {"m"});
    for (const char *it : {"least_loaded", "power_of_two", "affinity"})
        EXPECT_EQ(pick(it, modelRequest()), "near") << it;
    addAgent("near", zoneA, 64, {"m"});
    std::map<std::string, int> picks;
    for (int i = 0; i < 200; ++i)
        ++picks[pick("power_of_two", modelRequest())];
    EXPECT_GT(picks["far"], picks["near"]);
}

TEST_F(RouterTest, KeepsAPrefixAtOneAgentUnlessItIsMuchBusier)
{
    for (int i = 0; i < 20; ++i)
        addAgent("agent-" + std::to_string(i), zoneA, 0, {"m"});
    RoutingRequest request = modelRequest();
    request.promptPrefixHash = computePromptPrefixHash("m", "the same beginning");
    const std::string preferredAgent = pick("affinity", request);
    for (int i = 0; i < 50; ++i)
        EXPECT_EQ(pick("affinity", request), preferredAgent);
    addAgent(preferredAgent, zoneA, 64, {"m"});
    EXPECT_NE(pick("affinity", request), preferredAgent);
}

TEST_F(RouterTest, SpreadsPrefixesOverAgents)
{
    for (int i = 0; i < 20; ++i)
        addAgent("agent-" + std::to_string(i), zoneA, 0, {"m"});
    std::map<std::string, int> picks;
    for (std::uint64_t i = 1; i <= 1000; ++i) {
        RoutingRequest request = modelRequest();
        request.promptPrefixHash = computePromptPrefixHash("m", "prompt " + std::to_string(i));
        ++picks[pick("affinity", request)];
    }
    EXPECT_EQ(picks.size(), 20U);
}

TEST_F(RouterTest, RoutesAnAdapterToItsBaseModelOnlyIfItMayBeLoaded)
{
    addAgent("base", zoneA, 0, {"m"});
    RoutingRequest request = modelRequest();
    request.adapter = "x";
    EXPECT_EQ(pick("affinity", request), "");
    request.mayLoadAdapter = true;
    EXPECT_EQ(pick("affinity", request), "base");
    addAgent("holder", zoneA, 1, {"m", "x"});
    EXPECT_EQ(pick("affinity", request), "holder");
}

TEST_F(RouterTest, RejectsAnUnknownPolicyName)
{
    EXPECT_THROW(makeRoutingPolicy("guess"), Error);
}
