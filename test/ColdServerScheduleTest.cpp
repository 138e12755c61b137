#include "Serving/Servers/RequestPermitIssuer.h"
#include "Serving/Servers/ServerDirectory.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>

using namespace quetzalyoke;
using namespace std::chrono_literals;

namespace {

const Instant start{1000s};
const ServerName engine("engine-1");
const ServiceName service("llm");
constexpr double coldPerSecond = 6.9;
// The platform allows one and a half times the rate and 5 requests in any second.
constexpr int allowedPerSecond = 15; // 15.35

// Gateways with requests for one engine that turns cold, on a virtual clock.
class ColdServerFleet
{
public:
    struct Settings
    {
        std::size_t gateways = 22;
        double requestsPerSecond = 200; ///< Of all gateways together, far above the rate.
        /// The engine starts again at its address when it turns cold, and is down for 2 s before.
        bool isRestart = false;
        Duration coldAt = 5s;
        Duration coldTime = 30s;
        double cutOffShare = 0; ///< Part of the gateways that hear neither the store nor a peer.
        double messageLoss = 0;
        Duration restartInterval{0}; ///< Time between restarts of random gateways; 0: none.
        Duration leaseTime{0}; ///< Time between changes of the issuer; 0: none.
        Duration leaseGap{0}; ///< Time without an issuer at each change.
        bool hasIssuer = true;
    };

    ColdServerFleet(const Settings &settings, std::uint64_t seed)
        : m_settings(settings), m_random(seed)
    {
        for (std::size_t i = 0; i < settings.gateways; ++i) {
            m_gateways.push_back(std::make_unique<Gateway>());
            initialize(*m_gateways.back());
        }
    }

    void run(Duration time)
    {
        for (m_now = start; m_now < start + time; m_now += step) {
            const Duration at = m_now - start;
            if (at % heartbeat == 0ms)
                writeEntry();
            if (m_settings.restartInterval.count() > 0 && at % m_settings.restartInterval == 0ms)
                restart(randomGateway());
            updateIssuer(at);
            if (at % peerMessageInterval == 0ms)
                tellPeers(randomGateway());
            while (!m_events.empty() && m_events.begin()->first <= m_now) {
                const auto event = m_events.extract(m_events.begin());
                event.mapped()();
            }
            if (occurs(m_settings.requestsPerSecond)) {
                const std::size_t index = randomGateway();
                ++m_gateways[index]->waiting;
                dispatch(index);
            }
            if (at % tickInterval == 0ms) {
                for (std::size_t i = 0; i < m_gateways.size(); ++i)
                    tick(i);
            }
            noteKnowledge();
        }
    }

    /// Returns the most requests in any second while the engine was cold, once every gateway could
    /// know it: from the start of an engine, else from when the last gateway has learned it.
    int maxWhileCold() const
    {
        const Instant from
            = m_settings.isRestart ? start + m_settings.coldAt : m_everyGatewayKnowsAt;
        return maxPerSecond(from, coldEnd());
    }
    int maxBetween(Duration from, Duration to) const
    {
        return maxPerSecond(coldEnd() + from, coldEnd() + to);
    }
    double meanWhileCold() const
    {
        const auto n = std::count_if(m_sent.begin(), m_sent.end(), [this](Instant at) {
            return at >= m_everyGatewayKnowsAt + 2s && at < coldEnd();
        });
        return double(n) / toSeconds(coldEnd() - m_everyGatewayKnowsAt - 2s);
    }
    bool hasEveryGatewayLearned() const { return m_everyGatewayKnowsAt < Instant::max(); }

private:
    static constexpr Duration step = 1ms;
    static constexpr Duration heartbeat = 1s;
    static constexpr Duration tickInterval = 50ms;
    static constexpr Duration maxListLag = 2s;
    static constexpr Duration downTime = 2s;
    static constexpr Duration peerMessageInterval = 100ms; // of all gateways together

    struct Gateway
    {
        std::unique_ptr<ServerDirectory> directory;
        Instant lastEntryAt; // arrival of the latest entry
        int generation = 0; // rises with each restart
        int waiting = 0;
        std::vector<RequestPermits::Number> numbers;

        ServerState &server() { return *directory->find(engine); }
    };

    double uniform() { return std::uniform_real_distribution<double>(0, 1)(m_random); }
    bool occurs(double perSecond) { return uniform() < perSecond * toSeconds(step); }
    std::size_t randomGateway()
    {
        return static_cast<std::size_t>(uniform() * double(m_gateways.size()));
    }
    Duration randomDelay(Duration shortest, Duration longest)
    {
        return shortest + scaled(longest - shortest, uniform());
    }
    void after(Duration delay, std::function<void()> action)
    {
        m_events.emplace(m_now + delay, std::move(action));
    }

    Instant coldEnd() const { return start + m_settings.coldAt + m_settings.coldTime; }
    bool isEngineCold() const { return m_now >= start + m_settings.coldAt && m_now < coldEnd(); }
    bool hasEngineTurned() const { return m_now >= start + m_settings.coldAt; }
    bool isEngineDown() const
    {
        return m_settings.isRestart && !hasEngineTurned()
            && m_now >= start + m_settings.coldAt - downTime;
    }
    Duration engineColdTime() const { return isEngineCold() ? coldEnd() - m_now : Duration(0); }
    Incarnation incarnation() const
    {
        return Incarnation(m_settings.isRestart && hasEngineTurned() ? 2 : 1);
    }
    bool isCutOff(std::size_t index) const
    {
        return hasEngineTurned()
            && double(index) >= (1 - m_settings.cutOffShare) * double(m_gateways.size());
    }

    ListedServer entry() const
    {
        ListedServer listed;
        listed.id = engine;
        listed.incarnation = incarnation();
        listed.service = service;
        listed.address = "10.0.0.1:80";
        listed.coldTime = engineColdTime();
        return listed;
    }

    void initialize(Gateway &gateway)
    {
        gateway.directory = std::make_unique<ServerDirectory>(2s);
        gateway.directory->setColdRules({{service, {RequestRate(coldPerSecond), 20s}}});
        gateway.directory->put(entry(), m_now);
        gateway.directory->recordListRead();
    }

    // A gateway that can't read the list doesn't start to serve.
    void restart(std::size_t index)
    {
        if (isCutOff(index))
            return;
        Gateway &gateway = *m_gateways[index];
        ++gateway.generation;
        gateway.numbers.clear();
        gateway.waiting = 0;
        initialize(gateway);
    }

    // The engine writes its entry, which gateways get in order, each with its own lag.
    void writeEntry()
    {
        if (isEngineDown())
            return;
        for (std::size_t i = 0; i < m_gateways.size(); ++i) {
            if (isCutOff(i))
                continue;
            Gateway &gateway = *m_gateways[i];
            gateway.lastEntryAt
                = std::max(gateway.lastEntryAt, m_now + randomDelay(50ms, maxListLag));
            m_events.emplace(gateway.lastEntryAt,
                             [&gateway, listed = entry(), generation = gateway.generation, this] {
                                 if (generation == gateway.generation)
                                     gateway.directory->put(listed, m_now);
                             });
        }
    }

    void updateIssuer(Duration at)
    {
        if (m_settings.leaseTime.count() == 0)
            return;
        const auto term = static_cast<std::size_t>(at / m_settings.leaseTime);
        if (term != m_term) {
            m_term = term;
            m_issuer.clear();
            m_issuerIndex = term % 3;
        }
        m_isIssuing = at % m_settings.leaseTime >= m_settings.leaseGap;
    }

    void sendPermitRequest(std::size_t index, RequestPermits::Number number)
    {
        if (isCutOff(index) || uniform() < m_settings.messageLoss)
            return;
        Gateway &gateway = *m_gateways[index];
        const auto limited = gateway.server().limitedServer(m_now);
        const int recent
            = gateway.server().permits.recentRequests(gateway.server().limitBeganAt(m_now), m_now);
        const int generation = gateway.generation;
        after(randomDelay(500us, 5500us), [=, this, &gateway] {
            if (!m_settings.hasIssuer || !m_isIssuing || isCutOff(m_issuerIndex))
                return;
            auto known = limited;
            const auto own = m_gateways[m_issuerIndex]->server().limitedServer(m_now);
            if (own.incarnation == known.incarnation && own.coldRate) {
                known.coldRate = std::min(*own.coldRate, known.coldRate.value_or(*own.coldRate));
                known.coldSince = own.coldSince;
            }
            const InstanceId name(std::to_string(index));
            if (number == 0) {
                m_issuer.recordRecentRequests(known, name, recent, m_now);
                return;
            }
            const auto decision = m_issuer.decide(known, name, recent, m_now);
            if (uniform() < m_settings.messageLoss)
                return;
            after(randomDelay(500us, 5500us), [=, this, &gateway] {
                if (generation != gateway.generation)
                    return;
                RequestPermits &permits = gateway.server().permits;
                if (decision.isGranted)
                    permits.onGranted(number, m_now);
                else
                    permits.onDenied(number, decision.retryAfter, m_now);
                dispatch(index);
            });
        });
    }

    void sendToEngine(std::size_t index, Instant permitUntil)
    {
        Gateway &gateway = *m_gateways[index];
        gateway.server().permits.recordSent(m_now);
        // A connection may have to be established first.
        const Duration connecting = uniform() < 0.2 ? randomDelay(1ms, 150ms) : Duration(0);
        const Incarnation sentTo = gateway.server().listed.incarnation;
        const int generation = gateway.generation;
        after(connecting, [=, this, &gateway] {
            if (generation != gateway.generation)
                return;
            const ServerState &server = gateway.server();
            if (server.listed.incarnation != sentTo
                || (server.isLimited(m_now) && m_now >= permitUntil))
                return;
            // A gateway without a current list asks for the incarnation on each new connection.
            const bool isFound = isCutOff(index) && sentTo != incarnation();
            if (isEngineDown() || isFound) {
                if (gateway.directory->recordProcessEnd(engine, sentTo, m_now))
                    tellPeers(index);
                return;
            }
            m_sent.push_back(m_now);
            after(randomDelay(100ms, 600ms), [=, this, &gateway, sentAt = m_now] {
                if (generation != gateway.generation || isEngineDown()
                    || sentTo != gateway.server().listed.incarnation)
                    return;
                if (gateway.server().coldPeriod.recordResponse(engineColdTime(), sentAt, m_now))
                    tellPeers(index);
            });
        });
    }

    // Tells all others what the gateway has found out itself.
    void tellPeers(std::size_t index)
    {
        const ServerState &known = m_gateways[index]->server();
        const ColdSource source = known.coldPeriod.source();
        const Duration remaining = known.coldPeriod.remaining(m_now);
        const bool isNews = source == ColdSource::Response || source == ColdSource::Start;
        if (!isNews || remaining.count() == 0 || isCutOff(index))
            return;
        for (std::size_t i = 0; i < m_gateways.size(); ++i) {
            if (i == index || isCutOff(i) || uniform() < m_settings.messageLoss)
                continue;
            after(randomDelay(10ms, 100ms), [this, i, remaining, of = known.listed.incarnation] {
                ServerState &server = m_gateways[i]->server();
                if (server.listed.incarnation == of)
                    server.coldPeriod.recordPeer(remaining, m_now);
            });
        }
    }

    void dispatch(std::size_t index)
    {
        Gateway &gateway = *m_gateways[index];
        while (gateway.waiting > 0) {
            ServerState &server = gateway.server();
            if (!server.isLimited(m_now)) {
                --gateway.waiting;
                sendToEngine(index, Instant());
                continue;
            }
            switch (server.permits.availability(m_now)) {
            case RequestPermits::Availability::Available: {
                const Instant until = server.permits.take(m_now);
                --gateway.waiting;
                sendToEngine(index, until);
                break;
            }
            case RequestPermits::Availability::Exhausted:
                gateway.waiting = 0;
                break;
            case RequestPermits::Availability::Requestable:
                std::erase_if(gateway.numbers, [&](RequestPermits::Number it) {
                    return !server.permits.isPending(it);
                });
                if (gateway.numbers.size() >= static_cast<std::size_t>(gateway.waiting))
                    return;
                gateway.numbers.push_back(++m_number);
                server.permits.recordRequest(m_number, m_now);
                sendPermitRequest(index, m_number);
                break;
            }
        }
    }

    void tick(std::size_t index)
    {
        ServerState &server = m_gateways[index]->server();
        if (server.isCold(m_now) != server.wasCold) {
            server.wasCold = server.isCold(m_now);
            if (server.wasCold)
                sendPermitRequest(index, 0);
        }
        if (!server.isLimited(m_now) || !server.permits.hasPending())
            return;
        if (server.permits.isIssuerSilent(m_now)) {
            server.permits.useOwnShare(server.ownShareLimit(m_now), server.limitBeganAt(m_now),
                                       m_gateways.size(), uniform(), m_now);
            dispatch(index);
        }
        for (const RequestPermits::Number number : server.permits.requestsToResend(m_now))
            sendPermitRequest(index, number);
    }

    // A request that was sent without a permit may have left up to a connection's time before.
    void noteKnowledge()
    {
        if (!isEngineCold() || hasEveryGatewayLearned())
            return;
        const bool isKnown = std::all_of(m_gateways.begin(), m_gateways.end(), [&](const auto &it) {
            return it->server().listed.incarnation == incarnation() && it->server().isCold(m_now);
        });
        if (isKnown)
            m_everyGatewayKnowsAt = m_now;
    }

    int maxPerSecond(Instant from, Instant to) const
    {
        std::vector<Instant> sent;
        std::copy_if(m_sent.begin(), m_sent.end(), std::back_inserter(sent),
                     [&](Instant at) { return at >= from && at < to; });
        std::size_t most = 0;
        std::size_t first = 0;
        for (std::size_t i = 0; i < sent.size(); ++i) {
            while (sent[first] <= sent[i] - 1s)
                ++first;
            most = std::max(most, i - first + 1);
        }
        return static_cast<int>(most);
    }

    const Settings m_settings;
    std::mt19937_64 m_random;
    Instant m_now = start;
    std::vector<std::unique_ptr<Gateway>> m_gateways;
    RequestPermitIssuer m_issuer;
    std::size_t m_issuerIndex = 0;
    std::size_t m_term = 0;
    bool m_isIssuing = true;
    std::multimap<Instant, std::function<void()>> m_events;
    std::vector<Instant> m_sent; // times at which requests reached the engine, in order
    RequestPermits::Number m_number = 0;
    Instant m_everyGatewayKnowsAt = Instant::max();
};

constexpr int seeds = 6;
constexpr Duration runTime = 40s;

using Change = std::function<void(ColdServerFleet::Settings &)>;
using Check = std::function<void(const ColdServerFleet &)>;

// Runs 22 and 300 gateways, with an engine that starts again and one that turns cold while it runs.
void forEachFleet(
    const Change &change, const Check &check = [](const ColdServerFleet &) {})
{
    int highest = 0;
    for (const std::size_t gateways : {22U, 300U}) {
        for (const bool isRestart : {false, true}) {
            for (int seed = 1; seed <= seeds; ++seed) {
                SCOPED_TRACE("gateways " + std::to_string(gateways) + ", restart "
                             + std::to_string(isRestart) + ", seed " + std::to_string(seed));
                ColdServerFleet::Settings settings;
                settings.gateways = gateways;
                settings.isRestart = isRestart;
                settings.coldAt = 5s + 137ms * seed;
                change(settings);
                ColdServerFleet fleet(settings, static_cast<std::uint64_t>(seed));
                fleet.run(runTime);
                EXPECT_LE(fleet.maxWhileCold(), allowedPerSecond);
                EXPECT_TRUE(isRestart || fleet.hasEveryGatewayLearned());
                highest = std::max(highest, fleet.maxWhileCold());
                check(fleet);
            }
        }
    }
    ::testing::Test::RecordProperty("highest", highest);
}

} // namespace

// A cold engine crashes well above its rate; far below it, it would be idle.
TEST(ColdServerScheduleTest, keepsAColdEngineAtItsRate)
{
    forEachFleet([](ColdServerFleet::Settings &) {},
                 [](const ColdServerFleet &fleet) {
                     EXPECT_TRUE(fleet.hasEveryGatewayLearned());
                     EXPECT_GE(fleet.meanWhileCold(), 0.6 * coldPerSecond);
                 });
}

// Requests that wait for the end of the period must not be sent all at once.
TEST(ColdServerScheduleTest, sendsNoBurstAtTheEndOfTheColdPeriod)
{
    forEachFleet([](ColdServerFleet::Settings &settings) { settings.coldTime = 12s; },
                 [](const ColdServerFleet &fleet) {
                     EXPECT_LE(fleet.maxBetween(-1s, 1s), 4 * coldPerSecond + 5);
                     EXPECT_GE(fleet.maxBetween(6s, 9s), 100);
                 });
}

TEST(ColdServerScheduleTest, staysAtTheRateWhileMessagesAreLost)
{
    forEachFleet([](ColdServerFleet::Settings &settings) { settings.messageLoss = 0.3; });
}

// Gateways that hear neither the store nor peers use their shares beside the issuer's permits.
TEST(ColdServerScheduleTest, staysAtTheRateWhileGatewaysAreCutOff)
{
    for (const double share : {0.3, 0.9}) {
        forEachFleet(
            [share](ColdServerFleet::Settings &settings) { settings.cutOffShare = share; });
    }
}

TEST(ColdServerScheduleTest, staysAtTheRateWithoutAnIssuer)
{
    forEachFleet([](ColdServerFleet::Settings &settings) { settings.hasIssuer = false; });
}

TEST(ColdServerScheduleTest, staysAtTheRateWhileGatewaysRestart)
{
    forEachFleet([](ColdServerFleet::Settings &settings) {
        settings.restartInterval = 100ms;
        settings.cutOffShare = 0.2;
    });
}

// Permits of the former issuer may still be in use when the next one begins.
TEST(ColdServerScheduleTest, staysAtTheRateWhenTheIssuerChanges)
{
    for (const Duration gap : {Duration(0), Duration(100ms), Duration(1500ms)}) {
        forEachFleet([gap](ColdServerFleet::Settings &settings) {
            settings.leaseTime = 4s;
            settings.leaseGap = gap;
            settings.cutOffShare = 0.1;
        });
    }
}
