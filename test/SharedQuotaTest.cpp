#include "Serving/Accounts/SharedQuota.h"
#include "SpendingRecord.h"

#include <gtest/gtest.h>

#include <deque>
#include <random>

using namespace quetzalyoke;
using namespace std::chrono_literals;

namespace {

const Instant start{1h};
constexpr double rate = 1000; // tokens a second
constexpr double burst = 1000;
constexpr Duration silenceTimeout = 450ms;
constexpr Duration messageInterval = 100ms;

InstanceId gateway(int i)
{
    return InstanceId("gateway-" + std::to_string(i));
}

// Gateways that send each other what they have spent, over links that can be cut.
class Fleet
{
public:
    explicit Fleet(int n, Duration peerSilenceTimeout = silenceTimeout)
        : m_silenceTimeout(peerSilenceTimeout)
    {
        for (int i = 0; i < n; ++i) {
            m_quotas.emplace_back(rate, burst, start);
            m_quotas.back().setGatewayCount(static_cast<std::size_t>(n), m_silenceTimeout);
            m_cut.push_back(false);
            m_suspended.push_back(false);
        }
    }

    void setCut(int i, bool isCut) { m_cut[i] = isCut; }
    void setSuspended(int i, bool isSuspended, Instant now)
    {
        if (m_suspended[i] && !isSuspended)
            m_quotas[i].markPeersSilent(now);
        m_suspended[i] = isSuspended;
    }
    void restart(int i, Instant now)
    {
        m_quotas[i] = SharedQuota(rate, burst, now);
        m_quotas[i].setGatewayCount(m_quotas.size(), m_silenceTimeout);
        ++m_incarnation;
        m_incarnations[i] = m_incarnation;
    }

    // Requests of \a cost at gateway \a i.
    void request(int i, double cost, Instant now)
    {
        if (m_suspended[i] || !m_quotas[i].charge(cost, now))
            return;
        m_record.add(now, cost);
    }
    void exchangeSpending(Instant now)
    {
        for (int i = 0; i < size(); ++i) {
            for (int k = 0; k < size(); ++k) {
                if (i == k || m_cut[i] || m_cut[k] || m_suspended[i] || m_suspended[k])
                    continue;
                m_quotas[k].updatePeerSpending(gateway(i), Incarnation(m_incarnations[i]),
                                               m_quotas[i].spent(), m_quotas[i].requested(), now);
            }
        }
    }
    int size() const { return static_cast<int>(m_quotas.size()); }

    const SpendingRecord &record() const { return m_record; }

private:
    const Duration m_silenceTimeout;
    std::vector<SharedQuota> m_quotas;
    std::vector<bool> m_cut;
    std::vector<bool> m_suspended;
    std::map<int, std::int64_t> m_incarnations;
    std::int64_t m_incarnation = 0;
    SpendingRecord m_record;
};

constexpr Duration window = 8s;
constexpr double requestCost = 20;

// Limit within a window: rate and burst, plus once what all spend before messages about it arrive.
double maxSpendingInWindow(int gateways, double requestedPerSecond)
{
    const double seconds = std::chrono::duration<double>(window).count();
    const double messageDelay
        = std::chrono::duration<double>(messageInterval + silenceTimeout).count();
    return rate * seconds + burst + requestedPerSecond * messageDelay + requestCost * gateways;
}

} // namespace

TEST(SharedQuotaTest, startsWithoutCredit)
{
    SharedQuota quota(rate, burst, start);
    EXPECT_FALSE(quota.charge(1, start));
    EXPECT_TRUE(quota.charge(500, start + 10ms));
    EXPECT_FALSE(quota.charge(1, start + 20ms));
    EXPECT_GT(quota.timeUntilCredit(start + 20ms), 400ms);
}

TEST(SharedQuotaTest, grantsTheWholeRateAtOneOfSeveralGateways)
{
    Fleet fleet(5);
    const Duration length = 20s;
    for (Duration t{0}; t < length; t += 10ms) {
        fleet.request(0, requestCost, start + t);
        if (t % messageInterval == Duration(0))
            fleet.exchangeSpending(start + t);
    }
    EXPECT_GE(fleet.record().total(), 0.95 * rate * 20);
}

TEST(SharedQuotaTest, limitsACutOffGatewayToItsEqualShare)
{
    Fleet fleet(4);
    fleet.setCut(0, true);
    for (Duration t{0}; t < Duration(20s); t += 5ms) {
        for (int i = 0; i < fleet.size(); ++i)
            fleet.request(i, requestCost, start + t);
        if (t % messageInterval == Duration(0))
            fleet.exchangeSpending(start + t);
    }
    EXPECT_LE(fleet.record().maximumInWindow(window),
              maxSpendingInWindow(4, 4 * requestCost / 0.005));
}

// Random network cuts, suspensions and restarts at five times the allowed demand.
TEST(SharedQuotaTest, staysWithinRateAndBurstUnderRandomFaults)
{
    constexpr int schedules = 400;
    constexpr int gateways = 4;
    for (int seed = 1; seed <= schedules; ++seed) {
        std::mt19937_64 random(static_cast<std::uint64_t>(seed));
        Fleet fleet(gateways);
        int restarts = 0;
        for (Duration t{0}; t < Duration(24s); t += 16ms) {
            const Instant now = start + t;
            const int event = static_cast<int>(random() % 200);
            const int victim = static_cast<int>(random() % gateways);
            if (event == 0)
                fleet.setCut(victim, random() % 2 == 0);
            if (event == 1)
                fleet.setSuspended(victim, random() % 2 == 0, now);
            if (event == 2 && restarts++ < 3)
                fleet.restart(victim, now);
            for (int i = 0; i < gateways; ++i)
                fleet.request(i, requestCost, now);
            if (t % Duration(96ms) == Duration(0))
                fleet.exchangeSpending(now);
        }
        ASSERT_LE(fleet.record().maximumInWindow(window),
                  maxSpendingInWindow(gateways, gateways * requestCost / 0.016))
            << "seed " << seed;
    }
}

// Load pattern: an account at many gateways suddenly sends several times its rate, and messages are
// exchanged only twice a second.
TEST(SharedQuotaTest, boundsASurgeAtManyGatewaysWithRareMessages)
{
    constexpr int gateways = 30;
    constexpr Duration rareMessageInterval = 480ms;
    Fleet fleet(gateways, 3 * rareMessageInterval + 150ms);
    for (Duration t{0}; t < Duration(30s); t += 20ms) {
        const bool isSurge = t > Duration(10s);
        for (int i = 0; i < gateways; ++i) {
            if (isSurge || (t / 20ms) % 8 == i % 8)
                fleet.request(i, isSurge ? 8 : 4, start + t);
        }
        if (t % rareMessageInterval == Duration(0))
            fleet.exchangeSpending(start + t);
    }
    // Each gateway may exceed its share by one request.
    EXPECT_LE(fleet.record().maximumInWindow(window), (rate * 8 + burst) * 1.1 + gateways * 8);
    EXPECT_GE(fleet.record().total(), 0.85 * rate * 20);
}

// Load pattern: an account well within its rate sends a few large requests per second to many
// gateways.
TEST(SharedQuotaTest, refusesNothingWithinTheRateAtManyGateways)
{
    constexpr int gateways = 30;
    constexpr Duration rareMessageInterval = 480ms;
    constexpr double cost = 90; // several times an even share of the burst
    std::mt19937_64 random(7);
    Fleet fleet(gateways, 3 * rareMessageInterval + 150ms);
    double requested = 0;
    for (Duration t{0}; t < Duration(60s); t += 20ms) {
        if (t % rareMessageInterval == Duration(0))
            fleet.exchangeSpending(start + t);
        // 0.55 of the rate on average, once there is credit.
        if (t < Duration(2s) || random() % 1000 >= 122)
            continue;
        requested += cost;
        fleet.request(static_cast<int>(random() % gateways), cost, start + t);
    }
    EXPECT_GE(fleet.record().total(), 0.99 * requested);
}

// Load pattern: an account uses nearly its whole rate with a few large requests per second to many
// gateways.
TEST(SharedQuotaTest, refusesLittleCloseToTheRateAtManyGateways)
{
    constexpr int gateways = 30;
    constexpr Duration rareMessageInterval = 480ms;
    constexpr double cost = 30;
    for (int seed = 1; seed <= 20; ++seed) {
        std::mt19937_64 random(static_cast<std::uint64_t>(seed));
        Fleet fleet(gateways, 3 * rareMessageInterval + 150ms);
        SharedQuota singleGateway(rate, burst, start); // a single gateway that gets every request
        for (Duration t{0}; t < Duration(60s); t += 20ms) {
            if (t % rareMessageInterval == Duration(0))
                fleet.exchangeSpending(start + t);
            // 0.95 of the rate on average, once there is credit.
            if (t < Duration(2s) || random() % 1000 >= 633)
                continue;
            fleet.request(static_cast<int>(random() % gateways), cost, start + t);
            singleGateway.charge(cost, start + t);
        }
        EXPECT_GE(fleet.record().total(), 0.95 * singleGateway.spent()) << "seed " << seed;
    }
}

// Load pattern: an account at many gateways constantly requests somewhat more than its rate. For
// hundreds of gateways see SpendingRelayTest.
TEST(SharedQuotaTest, staysWithinTheRateAtThirtyGatewaysForAnyDemand)
{
    constexpr int gateways = 30;
    constexpr Duration rareMessageInterval = gateways * 16ms;
    constexpr double cost = 10;
    for (int percent = 105; percent <= 400; percent += 15) {
        std::mt19937_64 random(static_cast<std::uint64_t>(percent));
        Fleet fleet(gateways, 3 * rareMessageInterval + 150ms);
        for (Duration t{0}; t < Duration(40s); t += 20ms) {
            if (t % rareMessageInterval == Duration(0))
                fleet.exchangeSpending(start + t);
            double due = rate * percent / 100 * 0.02 / cost;
            for (; due >= 1 || static_cast<double>(random() % 1000) < due * 1000; due -= 1)
                fleet.request(static_cast<int>(random() % gateways), cost, start + t);
        }
        EXPECT_LE(fleet.record().maximumInWindow(window), (rate * 8 + burst) * 1.1)
            << percent << " %";
    }
}

// A refused caller that is told to return at once is refused again.
TEST(SharedQuotaTest, statesWhenTheNextChargeIsAccepted)
{
    for (const int gateways : {1, 25}) {
        SharedQuota quota(rate, burst, start);
        quota.setGatewayCount(static_cast<std::size_t>(gateways), silenceTimeout);
        int refused = 0;
        int atOnce = 0;
        for (Duration t{0}; t < Duration(20s); t += 7ms) {
            const Instant now = start + t;
            // The peers' reports keep coming, so that nothing is deducted for silence.
            if (gateways > 1)
                quota.updatePeerSpending(InstanceId("peers"), Incarnation(1), 0,
                                         toSeconds(now - start) * rate, now, gateways - 1);
            if (quota.charge(requestCost, now))
                continue;
            ++refused;
            const Duration wait = quota.timeUntilCredit(now);
            atOnce += wait < 1ms ? 1 : 0;
            SharedQuota later = quota;
            // The share of several gateways changes until then.
            if (gateways == 1) {
                EXPECT_TRUE(later.charge(requestCost, now + wait + 1ms));
            }
        }
        std::cout << gateways << " gateways: refused " << refused
                  << ", told to return within a millisecond " << atOnce << "\n";
        EXPECT_GT(refused, 100);
        EXPECT_LT(atOnce, refused / 10);
    }
}
