#include "Core/Requests/RetryBudget.h"
#include "Core/StrongTypes.h"

#include <gtest/gtest.h>

#include <deque>
#include <random>
#include <vector>

using namespace quetzalyoke;
using namespace std::chrono_literals;

namespace {

// The platform allows this share of the requests and this many further retries in any 10 seconds,
// summed over all gateways, whatever becomes of them.
constexpr double retryShare = 0.2;
constexpr double retryReserve = 54;
constexpr Duration window = 10s;

// As the entry gateway uses its budgets.
constexpr double usedShare = 0.75;

struct Outcome
{
    double largestExcess = 0; ///< Retries above what is allowed, in any window.
    int retries = 0;
};

// Gateways whose requests all want to be retried. Each restarts after \a lifetime.
Outcome run(std::size_t gateways, double requestsPerSecond, Duration lifetime, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    const auto uniform = [&random] { return std::uniform_real_distribution<double>(0, 1)(random); };
    const auto newBudget = [&] {
        return RetryBudget(usedShare * retryShare,
                           usedShare * retryReserve / static_cast<double>(gateways));
    };
    std::vector<RetryBudget> budgets;
    for (std::size_t i = 0; i < gateways; ++i)
        budgets.push_back(newBudget());
    std::deque<std::pair<Duration, bool>> recent; // requests and retries
    double requests = 0;
    double retries = 0;
    Outcome outcome;
    const Duration interval(static_cast<std::int64_t>(1e6 / requestsPerSecond));
    Duration restartAt = lifetime;
    for (Duration now{0}; now < Duration(60s); now += interval) {
        if (now >= restartAt) {
            restartAt += lifetime;
            for (RetryBudget &budget : budgets)
                budget = newBudget();
        }
        while (!recent.empty() && recent.front().first <= now - window) {
            (recent.front().second ? retries : requests) -= 1;
            recent.pop_front();
        }
        RetryBudget &budget
            = budgets[static_cast<std::size_t>(uniform() * static_cast<double>(gateways))];
        budget.onRequest();
        requests += 1;
        recent.emplace_back(now, false);
        if (!budget.tryConsumeRetry(uniform()))
            continue;
        ++outcome.retries;
        retries += 1;
        recent.emplace_back(now, true);
        outcome.largestExcess
            = std::max(outcome.largestExcess, retries - retryShare * requests - retryReserve);
    }
    return outcome;
}

} // namespace

TEST(RetryBudgetTest, staysWithinTheRetriesOfAllGatewaysWhenTheyRestart)
{
    for (const std::size_t gateways : {2, 5, 31, 300}) {
        for (const Duration lifetime : {Duration(3s), Duration(7s), Duration(100s)}) {
            for (std::uint64_t seed = 1; seed <= 5; ++seed) {
                const Outcome outcome = run(gateways, 50, lifetime, seed);
                EXPECT_LE(outcome.largestExcess, 0) << gateways << " gateways, seed " << seed;
            }
        }
    }
}

// Each gateway's part of the reserve is less than one retry.
TEST(RetryBudgetTest, allowsRetriesAtHundredsOfGateways)
{
    for (const std::size_t gateways : {68, 300, 470}) {
        const Outcome outcome = run(gateways, 500, 100s, 1);
        EXPECT_GE(outcome.retries, 0.5 * usedShare * retryShare * 500 * 60) << gateways;
    }
}
