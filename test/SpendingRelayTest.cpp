#include "Serving/Accounts/SpendingRelay.h"
#include "Serving/Accounts/SharedQuota.h"
#include "SpendingRecord.h"

#include <gtest/gtest.h>

#include <deque>
#include <memory>
#include <random>

using namespace quetzalyoke;
using namespace std::chrono_literals;

namespace {

const Instant start{1h};
const AccountId account("account");
constexpr double rate = 1000; // tokens a second
constexpr double burst = 1000;
constexpr int zones = 4;
constexpr Duration step = 10ms;
constexpr Duration delay = 20ms; // of a message
constexpr Duration window = 8s;
constexpr double costOfOne = 10;

// Most that a window may see: rate and burst and a tenth of them.
constexpr double allowed = (rate * 8 + burst) * 1.1;

// The users' bounds allow besides what their largest account's rate gives in 0.66 s, whatever
// happens to gateways.
constexpr double allowedUnderFaults = allowed + 0.66 * rate;

// Gateways of several zones that share an account's quota by their speakers.
class Fleet
{
public:
    explicit Fleet(int n) : m_nodes(static_cast<std::size_t>(n))
    {
        for (int i = 0; i < n; ++i) {
            m_candidates.push_back(candidate(i));
            begin(i, start);
        }
    }

    int size() const { return static_cast<int>(m_nodes.size()); }
    void begin(int i, Instant now)
    {
        Node &node = m_nodes[static_cast<std::size_t>(i)];
        node.isUp = true;
        node.incarnation = Incarnation(++m_lives);
        node.quota = std::make_unique<SharedQuota>(rate, burst, now);
        node.quota->setGatewayCount(m_nodes.size(), SpendingRelay::Settings().silenceTimeout);
        SpendingRelay::Hooks hooks;
        hooks.onOthersSum = [this, i](const MessageOrigin &speaker, const SpendingSum &sum) {
            const auto it = sum.accounts.find(account);
            const AccountSpending told = it == sum.accounts.end() ? AccountSpending() : it->second;
            quota(i).updatePeerSpending(speaker.instance, speaker.incarnation, told.spent,
                                        told.requested, m_now, sum.gatewayCount);
        };
        hooks.onAggregatorReplaced
            = [this, i](const InstanceId &speaker) { quota(i).removeReplacedPeer(speaker, m_now); };
        node.relay = std::make_unique<SpendingRelay>(SpendingRelay::Settings(), candidate(i),
                                                     std::move(hooks));
    }
    void end(int i) { m_nodes[static_cast<std::size_t>(i)].isUp = false; }
    void setCut(int i, bool isCut) { m_nodes[static_cast<std::size_t>(i)].isCut = isCut; }
    SharedQuota &quota(int i) { return *m_nodes[static_cast<std::size_t>(i)].quota; }

    bool ask(int i, double cost)
    {
        if (!m_nodes[static_cast<std::size_t>(i)].isUp || !quota(i).charge(cost, m_now))
            return false;
        m_record.add(m_now, cost);
        return true;
    }
    // Moves to \a now: delivers messages and lets the gateways whose turn it is tell.
    void advance(Instant now)
    {
        m_now = now;
        while (!m_onTheirWay.empty() && m_onTheirWay.front().at <= now) {
            const Flying flying = m_onTheirWay.front();
            m_onTheirWay.pop_front();
            Node &node = m_nodes[static_cast<std::size_t>(flying.to)];
            if (node.isUp && !node.isCut)
                node.relay->onMessage(flying.from, flying.message, now);
        }
        const auto steps = SpendingRelay::Settings().tickInterval / step;
        for (int i = 0; i < size(); ++i) {
            if ((now - start) / step % steps == i % steps)
                tell(i);
        }
    }

    const SpendingRecord &record() const { return m_record; }

private:
    struct Node
    {
        bool isUp = true;
        bool isCut = false;
        Incarnation incarnation;
        std::int64_t sequence = 0;
        std::unique_ptr<SharedQuota> quota;
        std::unique_ptr<SpendingRelay> relay;
    };
    struct Flying
    {
        Instant at;
        int to = 0;
        MessageOrigin from;
        SpendingRelay::Message message;
    };

    static InstanceId name(int i) { return InstanceId(std::to_string(1000 + i)); }
    static int index(const InstanceId &id) { return std::stoi(id.text()) - 1000; }
    static GatewayCandidate candidate(int i)
    {
        return {name(i), ZoneName("zone-" + std::to_string(i % zones)), true, true, 0.2};
    }
    // Deaths are not known to the others: only the relay itself notices them.
    void tell(int i)
    {
        Node &node = m_nodes[static_cast<std::size_t>(i)];
        if (!node.isUp)
            return;
        const SpendingByAccount own{{account, {node.quota->spent(), node.quota->requested()}}};
        for (auto &outgoing : node.relay->tick(m_candidates, node.incarnation, own, m_now)) {
            if (node.isCut)
                continue;
            m_onTheirWay.push_back({m_now + delay,
                                    index(outgoing.to),
                                    {name(i), node.incarnation, ++node.sequence},
                                    std::move(outgoing.message)});
        }
    }

    std::vector<Node> m_nodes;
    std::vector<GatewayCandidate> m_candidates;
    std::deque<Flying> m_onTheirWay;
    SpendingRecord m_record;
    Instant m_now = start;
    std::int64_t m_lives = 0;
};

// Sends \a tokensPerSecond to gateways drawn at random for one step.
void askAtRandom(Fleet &fleet, double tokensPerSecond, std::mt19937_64 &random)
{
    double due = tokensPerSecond * std::chrono::duration<double>(step).count() / costOfOne;
    for (; due >= 1 || static_cast<double>(random() % 1000) < due * 1000; due -= 1)
        fleet.ask(static_cast<int>(random() % static_cast<std::uint64_t>(fleet.size())), costOfOne);
}

} // namespace

// Load pattern: an account at many gateways asks for somewhat more than its rate, without end.
TEST(SpendingRelayTest, staysWithinTheRateAtThreeHundredGatewaysHoweverMuchIsAsked)
{
    for (int percent = 105; percent <= 400; percent += 15) {
        std::mt19937_64 random(static_cast<std::uint64_t>(percent));
        Fleet fleet(300);
        for (Duration t{0}; t < Duration(40s); t += step) {
            fleet.advance(start + t);
            askAtRandom(fleet, rate * percent / 100, random);
        }
        EXPECT_LE(fleet.record().maximumInWindow(window), allowed) << percent << " %";
        EXPECT_GE(fleet.record().total(), 0.85 * rate * 40) << percent << " %";
    }
}

// Load pattern: an account well within its rate at many gateways.
TEST(SpendingRelayTest, refusesLittleWithinTheRateAtThreeHundredGateways)
{
    std::mt19937_64 random(1);
    Fleet fleet(300);
    double asked = 0;
    for (Duration t{0}; t < Duration(40s); t += step) {
        fleet.advance(start + t);
        if (t < Duration(4s) || random() % 1000 >= 300)
            continue;
        asked += 20;
        fleet.ask(static_cast<int>(random() % 300), 20);
    }
    EXPECT_GE(fleet.record().total(), 0.99 * asked);
}

// Speakers and others are cut off, killed and started again, under three times the rate.
TEST(SpendingRelayTest, staysWithinTheRateWhateverHappensToSpeakers)
{
    constexpr int schedules = 60;
    constexpr int gateways = 80;
    for (int seed = 1; seed <= schedules; ++seed) {
        std::mt19937_64 random(static_cast<std::uint64_t>(seed));
        Fleet fleet(gateways);
        int restarts = 0;
        for (Duration t{0}; t < Duration(30s); t += step) {
            fleet.advance(start + t);
            // The second gateways of their zones are the speakers.
            const int victim = static_cast<int>(random() % 2 == 0 ? zones + random() % zones
                                                                  : random() % gateways);
            const int event = static_cast<int>(random() % 150);
            if (event == 0)
                fleet.setCut(victim, random() % 2 == 0);
            if (event == 1)
                fleet.end(victim);
            if (event == 2 && restarts++ < 4)
                fleet.begin(victim, start + t);
            askAtRandom(fleet, 3 * rate, random);
        }
        EXPECT_LE(fleet.record().maximumInWindow(window), allowedUnderFaults) << "seed " << seed;
    }
}

// A sum counts a gateway's spending once, whichever speakers it has told.
TEST(SpendingRelayTest, countsEverySpendingOnceAndLeavesOutTheReceiversOwn)
{
    constexpr int gateways = 12;
    Fleet fleet(gateways);
    for (Duration t{0}; t < Duration(5s); t += step)
        fleet.advance(start + t);
    EXPECT_TRUE(fleet.ask(5, 400));
    for (Duration t{5s}; t < Duration(7s); t += step)
        fleet.advance(start + t);
    for (int i = 0; i < gateways; ++i) {
        const double level = fleet.quota(i).credit(start + Duration(7s));
        EXPECT_NEAR(level, burst, 1) << "gateway " << i;
    }
    EXPECT_TRUE(fleet.ask(5, 3000));
    for (Duration t{7s}; t < Duration(8600ms); t += step)
        fleet.advance(start + t);
    for (int i = 0; i < gateways; ++i) {
        // Nothing is saved up beyond the burst until the news come, at most three intervals late.
        const double level = fleet.quota(i).credit(start + Duration(8600ms));
        EXPECT_LE(level, burst - 3000 + 1.6 * rate + 1) << "gateway " << i;
        EXPECT_GE(level, burst - 3000 + 0.1 * rate - 60) << "gateway " << i;
    }
}
