// Compares charging tokens as they are received with reserving the maximum and refunding the rest.
// Guards against time windows that receive more than rate and burst, and against refused requests
// of accounts within their rate.
#include "Core/Accounts/AccountShares.h"
#include "Core/Accounts/TokenBucket.h"

#include <gtest/gtest.h>

#include <random>

using namespace quetzalyoke;
using namespace std::chrono_literals;

namespace {

const AccountId account("stable");
constexpr TokensPerSecond rate(100);
constexpr Tokens burst(800);
constexpr Tokens prompt(20);
constexpr Tokens responseLimit(256);
constexpr Duration timeStep = 50ms; // in which each stream produces one token
constexpr Duration duration = 10min;
constexpr double meanResponse = 40; // tokens

struct Stream
{
    std::int64_t remaining = 0;
    std::int64_t reserved = 0;
};

struct Results
{
    int requests = 0;
    int refused = 0;
    std::int64_t maxExcess = 0; // tokens above rate and burst in the worst time window
    Duration maxWait{}; // of a stream for tokens
};

// A bucket that is allowed to go below zero: its deficit is the excess over rate and burst in the
// worst time window.
class QuotaChecker
{
public:
    void receive(Tokens n, Instant now, Results &results)
    {
        m_level = std::min<double>(static_cast<double>(burst.count()),
                                   m_level
                                       + std::chrono::duration<double>(now - m_updatedAt).count()
                                           * static_cast<double>(rate.count()));
        m_updatedAt = now;
        m_level -= static_cast<double>(n.count());
        results.maxExcess = std::max(results.maxExcess, static_cast<std::int64_t>(-m_level));
    }

private:
    double m_level = static_cast<double>(burst.count());
    Instant m_updatedAt;
};

// Generates random requests that use \a utilization of the rate on average.
class Workload
{
public:
    Workload(unsigned seed, double utilization) : m_random(seed)
    {
        const double cost = static_cast<double>(prompt.count()) + meanResponse;
        m_arrivalProbability = utilization * static_cast<double>(rate.count()) / cost
            * std::chrono::duration<double>(timeStep).count();
    }
    bool arrives() { return std::bernoulli_distribution(m_arrivalProbability)(m_random); }
    std::int64_t responseLength()
    {
        const auto n = static_cast<std::int64_t>(
            std::exponential_distribution<double>(1 / meanResponse)(m_random));
        return std::clamp<std::int64_t>(n, 1, responseLimit.count());
    }

private:
    std::mt19937_64 m_random;
    double m_arrivalProbability = 0;
};

Results reserveAndRefund(unsigned seed, double utilization)
{
    Workload workload(seed, utilization);
    QuotaChecker quotaChecker;
    Results results;
    // Refunds raise the level again, up to the burst.
    double level = static_cast<double>(burst.count());
    std::vector<Stream> streams;
    for (Instant now; now < Instant(duration); now += timeStep) {
        const double refill
            = static_cast<double>(rate.count()) * std::chrono::duration<double>(timeStep).count();
        level = std::min<double>(static_cast<double>(burst.count()), level + refill);
        if (workload.arrives()) {
            ++results.requests;
            const std::int64_t response = workload.responseLength();
            const std::int64_t needed = (prompt + responseLimit).count();
            if (level < static_cast<double>(needed)) {
                ++results.refused;
            } else {
                level -= static_cast<double>(needed);
                streams.push_back({response, responseLimit.count() - response});
                quotaChecker.receive(prompt, now, results);
            }
        }
        for (Stream &it : streams) {
            quotaChecker.receive(Tokens(1), now, results);
            if (--it.remaining == 0)
                level = std::min<double>(static_cast<double>(burst.count()),
                                         level + static_cast<double>(it.reserved));
        }
        std::erase_if(streams, [](const Stream &it) { return it.remaining == 0; });
    }
    return results;
}

AccountShares fullShare(Instant now)
{
    AccountShares shares(InstanceId("g0"), Incarnation(1));
    shares.configure({{account, {account, rate, burst, 0}}}, now);
    ShareRow row;
    row.startsFull = true;
    row.shares[InstanceId("g0")] = {ShareRow::fullWeight, Incarnation(1)};
    shares.applyRow(account, row, Version(1), now);
    shares.setFreshUntil(Instant(duration));
    return shares;
}

Results chargeAsReceived(unsigned seed, double utilization)
{
    Workload workload(seed, utilization);
    QuotaChecker quotaChecker;
    Results results;
    AccountShares shares = fullShare(Instant());
    struct ChargedStream
    {
        std::int64_t remaining;
        Tokens nextCharge; // first the prompt and one token, then one token at a time
        Instant dueAt;
    };
    std::vector<ChargedStream> streams;
    for (Instant now; now < Instant(duration); now += timeStep) {
        if (workload.arrives()) {
            ++results.requests;
            const std::int64_t response = workload.responseLength();
            if (shares.admit(account, prompt, responseLimit, true, now))
                ++results.refused;
            else
                streams.push_back({response, prompt + Tokens(1), now});
        }
        for (ChargedStream &it : streams) {
            results.maxWait = std::max<Duration>(results.maxWait, now - it.dueAt);
            if (shares.charge(account, it.nextCharge, now) > Duration::zero())
                continue;
            quotaChecker.receive(it.nextCharge, now, results);
            it.nextCharge = Tokens(1);
            it.dueAt = now + timeStep;
            --it.remaining;
        }
        std::erase_if(streams, [](const ChargedStream &it) { return it.remaining == 0; });
    }
    return results;
}

void printResults(const char *policyName, unsigned seed, double utilization, const Results &results)
{
    std::cout << policyName << ", seed " << seed << ", " << utilization
              << " of the rate: " << results.refused << " of " << results.requests
              << " refused, worst window " << results.maxExcess << " tokens over, longest wait "
              << std::chrono::duration_cast<std::chrono::milliseconds>(results.maxWait).count()
              << " ms\n";
}

} // namespace

TEST(ChargingPolicyTest, chargesAsReceivedWithoutExcessOrRefusalWithinTheRate)
{
    for (unsigned seed = 1; seed <= 3; ++seed) {
        for (const double utilization : {0.5, 0.8, 3.0}) {
            printResults("reserve and refund", seed, utilization,
                         reserveAndRefund(seed, utilization));
            const Results results = chargeAsReceived(seed, utilization);
            printResults("charge as received", seed, utilization, results);
            EXPECT_EQ(results.maxExcess, 0);
            if (utilization < 1)
                EXPECT_EQ(results.refused, 0);
            else
                EXPECT_GT(results.refused, 0);
        }
    }
}

TEST(ChargingPolicyTest, refusesRequestLargerThanBurstAndNamesTheRemedy)
{
    AccountShares shares = fullShare(Instant());
    EXPECT_FALSE(shares.admit(account, prompt, burst, true, Instant()));
    const auto refusal = shares.admit(account, prompt, burst, false, Instant());
    ASSERT_TRUE(refusal);
    EXPECT_EQ(refusal->runState, RunState::NotRun);
    EXPECT_NE(refusal->message.find("stream"), std::string::npos);
}
