// Random schedules of several gateways, a table and a network on a virtual clock, against the
// classes that the gateway itself uses.
#include "SharesWorld.h"

#include <gtest/gtest.h>

using namespace quetzalyoke;
using namespace quetzalyoke::test;

namespace {

void runSchedules(unsigned first, unsigned count)
{
    std::int64_t delivered = 0;
    std::int64_t accepted = 0;
    std::int64_t acknowledged = 0;
    for (unsigned seed = first; seed < first + count; ++seed) {
        SharesSimulation world(seed, SimulationSettings());
        world.run();
        delivered += world.chargedTokens;
        accepted += world.acceptedRequests;
        acknowledged += world.acknowledgedChanges;
        const std::set<std::string> violations(world.violations.begin(), world.violations.end());
        for (const std::string &it : violations)
            ADD_FAILURE() << "seed " << seed << ": " << it;
        if (testing::Test::HasFailure())
            break;
    }
    std::cout << "seeds " << first << " to " << first + count - 1 << ": " << delivered
              << " tokens handed out, " << accepted << " requests let in, " << acknowledged
              << " changes acknowledged\n";
    // Schedules in which nothing happens would prove nothing.
    EXPECT_GT(delivered, count * testBurst.count());
    EXPECT_GT(accepted, count);
    EXPECT_GT(acknowledged, count / 2);
}

} // namespace

constexpr unsigned schedulesPerTest = 2500;

TEST(SharesScheduleTest, keepsPromisesUnderFaultsFirstQuarter)
{
    runSchedules(1, schedulesPerTest);
}

TEST(SharesScheduleTest, keepsPromisesUnderFaultsSecondQuarter)
{
    runSchedules(1 + schedulesPerTest, schedulesPerTest);
}

TEST(SharesScheduleTest, keepsPromisesUnderFaultsThirdQuarter)
{
    runSchedules(1 + 2 * schedulesPerTest, schedulesPerTest);
}

TEST(SharesScheduleTest, keepsPromisesUnderFaultsFourthQuarter)
{
    runSchedules(1 + 3 * schedulesPerTest, schedulesPerTest);
}
