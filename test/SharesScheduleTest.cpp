// Runs the gateway's share and cluster view classes in random schedules of several gateways, a
// table and a network on a virtual clock. Guards against exceeded quotas and reverted changes under
// faults.
#include "SharesWorld.h"

#include <gtest/gtest.h>

using namespace quetzalyoke;
using namespace quetzalyoke::test;

namespace {

void runSchedules(unsigned first, unsigned count)
{
    std::int64_t charged = 0;
    std::int64_t accepted = 0;
    std::int64_t acknowledged = 0;
    for (unsigned seed = first; seed < first + count; ++seed) {
        SharesSimulation simulation(seed, SimulationSettings());
        simulation.run();
        charged += simulation.chargedTokens;
        accepted += simulation.acceptedRequests;
        acknowledged += simulation.acknowledgedChanges;
        const std::set<std::string> violations(simulation.violations.begin(),
                                               simulation.violations.end());
        for (const std::string &it : violations)
            ADD_FAILURE() << "seed " << seed << ": " << it;
        if (testing::Test::HasFailure())
            break;
    }
    std::cout << "seeds " << first << " to " << first + count - 1 << ": " << charged
              << " tokens charged, " << accepted << " requests accepted, " << acknowledged
              << " changes acknowledged\n";
    // Ensures that the schedules exercise charging, requests and changes.
    EXPECT_GT(charged, count * testBurst.count());
    EXPECT_GT(accepted, count);
    EXPECT_GT(acknowledged, count / 2);
}

} // namespace

constexpr unsigned schedulesPerTest = 2500;

TEST(SharesScheduleTest, keepsGuaranteesUnderFaultsFirstQuarter)
{
    runSchedules(1, schedulesPerTest);
}

TEST(SharesScheduleTest, keepsGuaranteesUnderFaultsSecondQuarter)
{
    runSchedules(1 + schedulesPerTest, schedulesPerTest);
}

TEST(SharesScheduleTest, keepsGuaranteesUnderFaultsThirdQuarter)
{
    runSchedules(1 + 2 * schedulesPerTest, schedulesPerTest);
}

TEST(SharesScheduleTest, keepsGuaranteesUnderFaultsFourthQuarter)
{
    runSchedules(1 + 3 * schedulesPerTest, schedulesPerTest);
}
