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
constexpr Duration delay = 20ms; // of each message
constexpr Duration window = 8s;
constexpr double requestCost = 10;

// Limit within a window: rate and burst plus a tenth of them.
constexpr double maxSpendingInWindow = (rate * 8 + burst) * 1.1;

// Under faults the users' requirements allow in addition what their largest account's rate gives in
// 0.66 s.
constexpr double maxSpendingUnderFaults = maxSpendingInWindow + 0.66 * rate;

// Gateways of several zones that share an account's quota through their aggregators.
class Fleet
{
public:
    explicit Fleet(int n) : m_nodes(static_cast<std::size_t>(n))
    {
        for (int i = 0; i < n; ++i) {
            m_candidates.push_back(candidate(i));
            startGateway(i, start);
        }
    }

    int size() const { return static_cast<int>(m_nodes.size()); }
    void startGateway(int i, Instant now)
    {
        Node &node = m_nodes[static_cast<std::size_t>(i)];
        node.isUp = true;
        node.incarnation = Incarnation(++m_starts);
        node.quota = std::make_unique<SharedQuota>(rate, burst, now);
        node.quota->setGatewayCount(m_nodes.size(), SpendingRelay::Settings().silenceTimeout);
        SpendingRelay::Hooks hooks;
        hooks.onOthersSum = [this, i](const MessageOrigin &aggregator, const SpendingSum &sum) {
            const auto it = sum.accounts.find(account);
            const AccountSpending spending
                = it == sum.accounts.end() ? AccountSpending() : it->second;
            quota(i).updatePeerSpending(aggregator.instance, aggregator.incarnation, spending.spent,
                                        spending.requested, m_now, sum.gatewayCount);
        };
        hooks.onAggregatorReplaced = [this, i](const InstanceId &aggregator) {
            quota(i).removeReplacedPeer(aggregator, m_now);
        };
        node.relay = std::make_unique<SpendingRelay>(SpendingRelay::Settings(), candidate(i),
                                                     std::move(hooks));
    }
    void stopGateway(int i) { m_nodes[static_cast<std::size_t>(i)].isUp = false; }
    void setCut(int i, bool isCut) { m_nodes[static_cast<std::size_t>(i)].isCut = isCut; }
    SharedQuota &quota(int i) { return *m_nodes[static_cast<std::size_t>(i)].quota; }

    bool request(int i, double cost)
    {
        if (!m_nodes[static_cast<std::size_t>(i)].isUp || !quota(i).charge(cost, m_now))
            return false;
        m_record.add(m_now, cost);
        return true;
    }
    // Advances the clock to \a now: delivers messages, and sends those of the gateways that are
    // due.
    void advance(Instant now)
    {
        m_now = now;
        while (!m_messagesInTransit.empty() && m_messagesInTransit.front().at <= now) {
            const MessageInTransit arrived = m_messagesInTransit.front();
            m_messagesInTransit.pop_front();
            Node &node = m_nodes[static_cast<std::size_t>(arrived.to)];
            if (node.isUp && !node.isCut)
                node.relay->onMessage(arrived.from, arrived.message, now);
        }
        const auto steps = SpendingRelay::Settings().tickInterval / step;
        for (int i = 0; i < size(); ++i) {
            if ((now - start) / step % steps == i % steps)
                sendMessages(i);
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
    struct MessageInTransit
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
    // All gateways stay candidates: only the relay itself detects that one has ended.
    void sendMessages(int i)
    {
        Node &node = m_nodes[static_cast<std::size_t>(i)];
        if (!node.isUp)
            return;
        const SpendingByAccount own{{account, {node.quota->spent(), node.quota->requested()}}};
        for (auto &outgoing : node.relay->tick(m_candidates, node.incarnation, own, m_now)) {
            if (node.isCut)
                continue;
            m_messagesInTransit.push_back({m_now + delay,
                                           index(outgoing.to),
                                           {name(i), node.incarnation, ++node.sequence},
                                           std::move(outgoing.message)});
        }
    }

    std::vector<Node> m_nodes;
    std::vector<GatewayCandidate> m_candidates;
    std::deque<MessageInTransit> m_messagesInTransit;
    SpendingRecord m_record;
    Instant m_now = start;
    std::int64_t m_starts = 0;
};

// Requests \a tokensPerSecond at randomly chosen gateways for one step.
void requestAtRandomGateways(Fleet &fleet, double tokensPerSecond, std::mt19937_64 &random)
{
    double due = tokensPerSecond * std::chrono::duration<double>(step).count() / requestCost;
    for (; due >= 1 || static_cast<double>(random() % 1000) < due * 1000; due -= 1)
        fleet.request(static_cast<int>(random() % static_cast<std::uint64_t>(fleet.size())),
                      requestCost);
}

} // namespace

// Load pattern: an account at many gateways constantly requests somewhat more than its rate.
TEST(SpendingRelayTest, staysWithinTheRateAtThreeHundredGatewaysForAnyDemand)
{
    for (int percent = 105; percent <= 400; percent += 15) {
        std::mt19937_64 random(static_cast<std::uint64_t>(percent));
        Fleet fleet(300);
        for (Duration t{0}; t < Duration(40s); t += step) {
            fleet.advance(start + t);
            requestAtRandomGateways(fleet, rate * percent / 100, random);
        }
        EXPECT_LE(fleet.record().maximumInWindow(window), maxSpendingInWindow) << percent << " %";
        EXPECT_GE(fleet.record().total(), 0.85 * rate * 40) << percent << " %";
    }
}

// Load pattern: an account well within its rate at many gateways.
TEST(SpendingRelayTest, refusesLittleWithinTheRateAtThreeHundredGateways)
{
    std::mt19937_64 random(1);
    Fleet fleet(300);
    double requested = 0;
    for (Duration t{0}; t < Duration(40s); t += step) {
        fleet.advance(start + t);
        if (t < Duration(4s) || random() % 1000 >= 300)
            continue;
        requested += 20;
        fleet.request(static_cast<int>(random() % 300), 20);
    }
    EXPECT_GE(fleet.record().total(), 0.99 * requested);
}

// Aggregators and other gateways are cut off, killed and restarted at three times the rate.
TEST(SpendingRelayTest, staysWithinTheRateUnderFaultsOfAggregators)
{
    constexpr int schedules = 60;
    constexpr int gateways = 80;
    for (int seed = 1; seed <= schedules; ++seed) {
        std::mt19937_64 random(static_cast<std::uint64_t>(seed));
        Fleet fleet(gateways);
        int restarts = 0;
        for (Duration t{0}; t < Duration(30s); t += step) {
            fleet.advance(start + t);
            // The second gateway of each zone is its aggregator.
            const int victim = static_cast<int>(random() % 2 == 0 ? zones + random() % zones
                                                                  : random() % gateways);
            const int event = static_cast<int>(random() % 150);
            if (event == 0)
                fleet.setCut(victim, random() % 2 == 0);
            if (event == 1)
                fleet.stopGateway(victim);
            if (event == 2 && restarts++ < 4)
                fleet.startGateway(victim, start + t);
            requestAtRandomGateways(fleet, 3 * rate, random);
        }
        EXPECT_LE(fleet.record().maximumInWindow(window), maxSpendingUnderFaults)
            << "seed " << seed;
    }
}

// A sum must count a gateway's spending once, whichever aggregators it has reported to.
TEST(SpendingRelayTest, countsEverySpendingOnceWithoutTheReceiversOwn)
{
    constexpr int gateways = 12;
    Fleet fleet(gateways);
    for (Duration t{0}; t < Duration(5s); t += step)
        fleet.advance(start + t);
    EXPECT_TRUE(fleet.request(5, 400));
    for (Duration t{5s}; t < Duration(7s); t += step)
        fleet.advance(start + t);
    for (int i = 0; i < gateways; ++i) {
        const double credit = fleet.quota(i).credit(start + Duration(7s));
        EXPECT_NEAR(credit, burst, 1) << "gateway " << i;
    }
    EXPECT_TRUE(fleet.request(5, 3000));
    for (Duration t{7s}; t < Duration(8600ms); t += step)
        fleet.advance(start + t);
    for (int i = 0; i < gateways; ++i) {
        // No credit beyond the burst is saved up until the messages arrive, at most three intervals
        // late.
        const double credit = fleet.quota(i).credit(start + Duration(8600ms));
        EXPECT_LE(credit, burst - 3000 + 1.6 * rate + 1) << "gateway " << i;
        EXPECT_GE(credit, burst - 3000 + 0.1 * rate - 60) << "gateway " << i;
    }
}
