// Charging tokens as they are received against reserving the most and refunding the rest.
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
constexpr Duration step = 50ms; // one token of each stream
constexpr Duration length = 10min;
constexpr double meanResponse = 40; // tokens

struct Stream
{
    std::int64_t left = 0;
    std::int64_t reserved = 0;
};

struct Figures
{
    int requests = 0;
    int refused = 0;
    std::int64_t mostExcess = 0; // tokens above rate and burst in the worst window
    Duration longestWait{}; // that a stream was held back for tokens
};

// What all windows together allow is what one bucket allows.
class WindowBound
{
public:
    void receive(Tokens n, Instant now, Figures &figures)
    {
        m_level = std::min<double>(static_cast<double>(burst.count()),
                                   m_level
                                       + std::chrono::duration<double>(now - m_at).count()
                                           * static_cast<double>(rate.count()));
        m_at = now;
        m_level -= static_cast<double>(n.count());
        figures.mostExcess = std::max(figures.mostExcess, static_cast<std::int64_t>(-m_level));
    }

private:
    double m_level = static_cast<double>(burst.count());
    Instant m_at;
};

// Requests by chance with a mean of `use` of the rate; takes one token of each stream a step.
class Experiment
{
public:
    Experiment(unsigned seed, double use) : m_random(seed)
    {
        const double cost = static_cast<double>(prompt.count()) + meanResponse;
        m_chance = use * static_cast<double>(rate.count()) / cost
            * std::chrono::duration<double>(step).count();
    }
    bool arrives() { return std::bernoulli_distribution(m_chance)(m_random); }
    std::int64_t responseLength()
    {
        const auto n = static_cast<std::int64_t>(
            std::exponential_distribution<double>(1 / meanResponse)(m_random));
        return std::clamp<std::int64_t>(n, 1, responseLimit.count());
    }

private:
    std::mt19937_64 m_random;
    double m_chance = 0;
};

Figures reserveAndRefund(unsigned seed, double use)
{
    Experiment experiment(seed, use);
    WindowBound bound;
    Figures figures;
    // A level that refunds may raise again, up to the burst.
    double level = static_cast<double>(burst.count());
    std::vector<Stream> streams;
    for (Instant now; now < Instant(length); now += step) {
        const double refill
            = static_cast<double>(rate.count()) * std::chrono::duration<double>(step).count();
        level = std::min<double>(static_cast<double>(burst.count()), level + refill);
        if (experiment.arrives()) {
            ++figures.requests;
            const std::int64_t response = experiment.responseLength();
            const std::int64_t needed = (prompt + responseLimit).count();
            if (level < static_cast<double>(needed)) {
                ++figures.refused;
            } else {
                level -= static_cast<double>(needed);
                streams.push_back({response, responseLimit.count() - response});
                bound.receive(prompt, now, figures);
            }
        }
        for (Stream &it : streams) {
            bound.receive(Tokens(1), now, figures);
            if (--it.left == 0)
                level = std::min<double>(static_cast<double>(burst.count()),
                                         level + static_cast<double>(it.reserved));
        }
        std::erase_if(streams, [](const Stream &it) { return it.left == 0; });
    }
    return figures;
}

AccountShares wholeShare(Instant now)
{
    AccountShares shares(InstanceId("g0"), Incarnation(1));
    shares.configure({{account, {account, rate, burst, 0}}}, now);
    ShareRow row;
    row.startsFull = true;
    row.shares[InstanceId("g0")] = {ShareRow::fullWeight, Incarnation(1)};
    shares.applyRow(account, row, Version(1), now);
    shares.setFreshUntil(Instant(length));
    return shares;
}

Figures chargeAsReceived(unsigned seed, double use)
{
    Experiment experiment(seed, use);
    WindowBound bound;
    Figures figures;
    AccountShares shares = wholeShare(Instant());
    struct Paced
    {
        std::int64_t left;
        Tokens next; // the prompt first, then token by token
        Instant dueAt;
    };
    std::vector<Paced> streams;
    for (Instant now; now < Instant(length); now += step) {
        if (experiment.arrives()) {
            ++figures.requests;
            const std::int64_t response = experiment.responseLength();
            if (shares.admit(account, prompt, responseLimit, true, now))
                ++figures.refused;
            else
                streams.push_back({response, prompt + Tokens(1), now});
        }
        for (Paced &it : streams) {
            figures.longestWait = std::max<Duration>(figures.longestWait, now - it.dueAt);
            if (shares.charge(account, it.next, now) > Duration::zero())
                continue;
            bound.receive(it.next, now, figures);
            it.next = Tokens(1);
            it.dueAt = now + step;
            --it.left;
        }
        std::erase_if(streams, [](const Paced &it) { return it.left == 0; });
    }
    return figures;
}

void print(const char *way, unsigned seed, double use, const Figures &figures)
{
    std::cout << way << ", seed " << seed << ", " << use << " of the rate: " << figures.refused
              << " of " << figures.requests << " refused, worst window " << figures.mostExcess
              << " tokens over, longest wait "
              << std::chrono::duration_cast<std::chrono::milliseconds>(figures.longestWait).count()
              << " ms\n";
}

} // namespace

TEST(ChargingPolicyTest, chargesAsReceivedWithoutExcessOrRefusalWithinTheRate)
{
    for (unsigned seed = 1; seed <= 3; ++seed) {
        for (const double use : {0.5, 0.8, 3.0}) {
            print("reserve and refund", seed, use, reserveAndRefund(seed, use));
            const Figures figures = chargeAsReceived(seed, use);
            print("charge as received", seed, use, figures);
            EXPECT_EQ(figures.mostExcess, 0);
            if (use < 1)
                EXPECT_EQ(figures.refused, 0);
            else
                EXPECT_GT(figures.refused, 0);
        }
    }
}

TEST(ChargingPolicyTest, refusesWhatNeverFitsAndNamesTheRemedy)
{
    AccountShares shares = wholeShare(Instant());
    EXPECT_FALSE(shares.admit(account, prompt, burst, true, Instant()));
    const auto refusal = shares.admit(account, prompt, burst, false, Instant());
    ASSERT_TRUE(refusal);
    EXPECT_EQ(refusal->runState, RunState::NotRun);
    EXPECT_NE(refusal->message.find("stream"), std::string::npos);
}
