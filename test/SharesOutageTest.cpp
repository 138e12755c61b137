// Accounts' shares while the table is out for ten minutes, on a virtual clock.
#include "SharesWorld.h"

#include <gtest/gtest.h>

using namespace quetzalyoke;
using namespace quetzalyoke::test;

namespace {

constexpr Duration outageStart = 1min;
constexpr Duration outageMiddle = 6min;
constexpr Duration outageEnd = 11min;
constexpr std::int64_t tokensOfTenth = 6; // six tenths of the rate
constexpr std::int64_t longestBacklog = testRate.count(); // one second of the rate

// An account uses six tenths of its rate, through one gateway or through all, while the table is
// out for ten minutes. Returns the largest backlog that it had to wait for, in tokens.
std::int64_t largestBacklog(unsigned seed, bool throughOne, SharesSimulation &world)
{
    std::int64_t owed = 0;
    std::int64_t largest = 0;
    world.scheduleAfter(outageStart, [&world] { world.table.isUnavailable = true; });
    world.scheduleAfter(outageEnd, [&world] { world.table.isUnavailable = false; });
    std::function<void()> arrive = [&] {
        owed += tokensOfTenth;
        largest = std::max(largest, owed);
        world.scheduleAfter(100ms, arrive);
    };
    world.scheduleAfter(10s, arrive); // once the shares have been divided
    world.generateTraffic = [&](int number) {
        // The one is another one from the middle of the outage on.
        const unsigned one = world.now() < Instant(outageMiddle) ? seed % 3 : (seed + 1) % 3;
        if (throughOne && number != static_cast<int>(one))
            return;
        while (owed > 0 && world.charge(number, Tokens(1)) == Duration::zero())
            --owed;
    };
    world.run();
    return largest;
}

SimulationSettings outagePlan(SharePolicy policy)
{
    SimulationSettings plan;
    plan.limits = {3s, 15min, 500ms, 9500ms};
    plan.policy = policy;
    plan.duration = 12min;
    plan.injectFaults = false;
    return plan;
}

} // namespace

TEST(SharesOutageTest, servesAnAccountWithinItsRateThroughATenMinuteOutage)
{
    for (const SharePolicy policy : {SharePolicy::Demand, SharePolicy::Static}) {
        for (unsigned seed = 1; seed <= 3; ++seed) {
            for (const bool throughOne : {false, true}) {
                SharesSimulation world(seed, outagePlan(policy));
                const std::int64_t largest = largestBacklog(seed, throughOne, world);
                std::cout << "seed " << seed << (throughOne ? " one gateway" : " all gateways")
                          << (policy == SharePolicy::Static ? " static" : " demand")
                          << ": largest backlog " << largest << " tokens, handed out "
                          << world.chargedTokens << "\n";
                EXPECT_LE(largest, longestBacklog);
                EXPECT_TRUE(world.violations.empty());
            }
        }
    }
}
