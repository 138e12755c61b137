// Checks on a virtual clock that an account can still use its rate while the table is unavailable
// for ten minutes and shares can't be moved.
#include "SharesWorld.h"

#include <gtest/gtest.h>

using namespace quetzalyoke;
using namespace quetzalyoke::test;

namespace {

constexpr Duration outageStart = 1min;
constexpr Duration outageMiddle = 6min;
constexpr Duration outageEnd = 11min;
constexpr std::int64_t tokensPerArrival = 6; // every 100 ms: six tenths of the rate
constexpr std::int64_t maxBacklog = testRate.count(); // one second of the rate

// Simulates an account that uses six tenths of its rate, through one gateway or all of them, while
// the table is unavailable for ten minutes. Returns the largest backlog in tokens.
std::int64_t largestBacklog(unsigned seed, bool useOneGateway, SharesSimulation &simulation)
{
    std::int64_t backlog = 0;
    std::int64_t largest = 0;
    simulation.scheduleAfter(outageStart, [&simulation] { simulation.table.isUnavailable = true; });
    simulation.scheduleAfter(outageEnd, [&simulation] { simulation.table.isUnavailable = false; });
    std::function<void()> arrive = [&] {
        backlog += tokensPerArrival;
        largest = std::max(largest, backlog);
        simulation.scheduleAfter(100ms, arrive);
    };
    simulation.scheduleAfter(10s, arrive); // after the shares have been distributed
    simulation.generateTraffic = [&](int number) {
        // The active gateway changes in the middle of the outage.
        const unsigned activeGateway
            = simulation.now() < Instant(outageMiddle) ? seed % 3 : (seed + 1) % 3;
        if (useOneGateway && number != static_cast<int>(activeGateway))
            return;
        while (backlog > 0 && simulation.charge(number, Tokens(1)) == Duration::zero())
            --backlog;
    };
    simulation.run();
    return largest;
}

SimulationSettings outageSettings(SharePolicy policy)
{
    SimulationSettings settings;
    settings.timeouts = {3s, 15min, 500ms, 9500ms};
    settings.policy = policy;
    settings.duration = 12min;
    settings.injectFaults = false;
    return settings;
}

} // namespace

TEST(SharesOutageTest, servesAccountWithinItsRateDuringTenMinuteTableOutage)
{
    for (const SharePolicy policy : {SharePolicy::Demand, SharePolicy::Static}) {
        for (unsigned seed = 1; seed <= 3; ++seed) {
            for (const bool useOneGateway : {false, true}) {
                SharesSimulation simulation(seed, outageSettings(policy));
                const std::int64_t largest = largestBacklog(seed, useOneGateway, simulation);
                std::cout << "seed " << seed << (useOneGateway ? " one gateway" : " all gateways")
                          << (policy == SharePolicy::Static ? " static" : " demand")
                          << ": largest backlog " << largest << " tokens, charged "
                          << simulation.chargedTokens << "\n";
                EXPECT_LE(largest, maxBacklog);
                EXPECT_TRUE(simulation.violations.empty());
            }
        }
    }
}
