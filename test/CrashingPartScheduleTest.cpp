#include "Apps/Entry/CrashingRequestDetector.h"

#include <gtest/gtest.h>

#include <deque>
#include <random>

using namespace quetzalyoke;
using namespace std::chrono_literals;

namespace {

using Suspects = CrashingRequestDetector::Suspects;

const Fingerprint guilty("part-dead");
const Fingerprint everyones("part-5"); // shared by all requests
constexpr int soundParts = 12;
constexpr int countedCrashes = 5;
constexpr int allowedRequests = 3;
constexpr Duration contactTime = 3s; // until the gateways are bound, and bound again after a fault
constexpr Duration stepTime = 10ms;
constexpr Duration answerDelay = 60ms; // from a request to the beginning of its answer
constexpr Duration messageInterval = 100ms;
constexpr Duration crashTime = 2s; // until a crashed server is back

struct Settings
{
    int gateways = 5;
    int servers = 9;
    double crashingPerSecond = 3;
    double soundPerSecond = 40;
    double lostMessages = 0.1; // share
    Duration time = 120s;
    bool hasGatewayFaults = true;
    bool restartsAllGateways = false; // at once; the store keeps their records
    bool hasOtherCrashes = false; // half of the servers at once, for no reason of their requests
};

// A fleet of gateways on a virtual clock: their requests run at servers, their news is delivered
// late, or lost.
class Fleet
{
public:
    Fleet(const Settings &settings, std::uint64_t seed)
        : m_settings(settings), m_random(seed), m_servers(settings.servers)
    {
        for (int i = 0; i < settings.gateways; ++i)
            m_gateways.push_back(makeGateway(i));
    }

    void run()
    {
        const Instant end = m_now + m_settings.time;
        for (; m_now < end; m_now += stepTime) {
            step();
        }
    }

    int lateRequests = 0; ///< With the guilty part, from bound gateways, too late.
    int crashes = 0;
    int soundSent = 0; ///< Later than twice the contact time after the fifth crash.
    int soundRefused = 0;

private:
    struct Gateway
    {
        std::unique_ptr<CrashingRequestDetector> detector;
        Instant faultAt; // of its latest fault
        Instant downUntil;
        Instant cutUntil; // from its peers
    };
    struct Run
    {
        int gateway;
        Suspects suspects;
        Instant answersAt;
        bool hasAnswered = false;
    };
    struct Server
    {
        int incarnation = 1;
        Instant downUntil;
        std::vector<Run> runs;
    };
    struct Message
    {
        Instant at;
        std::size_t to;
        std::vector<CrashNews> news;
    };

    Gateway makeGateway(int i)
    {
        const InstanceId id("gateway-" + std::to_string(i));
        return {std::make_unique<CrashingRequestDetector>(id), m_now, {}, {}};
    }
    double random() { return std::uniform_real_distribution<double>(0, 1)(m_random); }
    std::size_t below(std::size_t n)
    {
        return std::min(n - 1, static_cast<std::size_t>(random() * static_cast<double>(n)));
    }
    bool happens(double perSecond) { return random() < perSecond * toSeconds(stepTime); }

    void step()
    {
        if (m_settings.hasGatewayFaults && happens(0.3))
            injectGatewayFault(below(m_gateways.size()));
        if (m_settings.restartsAllGateways && happens(0.05)) {
            for (std::size_t i = 0; i < m_gateways.size(); ++i)
                restart(i, 500ms);
        }
        if (m_settings.hasOtherCrashes && happens(0.1)) {
            for (std::size_t i = 0; i < m_servers.size() / 2; ++i)
                crash(below(m_servers.size()));
        }
        if (happens(m_settings.crashingPerSecond))
            send({everyones, guilty}, true);
        if (happens(m_settings.soundPerSecond))
            send({everyones, Fingerprint("part-a" + std::to_string(below(soundParts)))}, false);
        answer();
        if (m_now >= m_nextMessages) {
            m_nextMessages = m_now + messageInterval;
            exchangeMessages();
        }
        deliverMessages();
        saveRecords();
        for (Gateway &it : m_gateways)
            it.detector->expire(m_now);
    }

    // One gateway of those that are up holds the lease; a successor waits.
    bool holdsLease(std::size_t i)
    {
        if (m_now < m_gateways[m_holder].downUntil) {
            m_holder = (m_holder + 1) % m_gateways.size();
            m_leaseFrom = m_now + 5s;
        }
        return i == m_holder && m_now >= m_leaseFrom;
    }

    void send(const Suspects &suspects, bool isGuilty)
    {
        const std::size_t i = below(m_gateways.size());
        Gateway &gateway = m_gateways[i];
        if (m_now < gateway.downUntil)
            return;
        const bool isBound = m_now - gateway.faultAt > contactTime;
        const Duration sinceFifth = m_now - m_fifthCrashAt;
        const bool isCounted = !isGuilty && isBound
            && (m_settings.crashingPerSecond == 0
                || (crashes >= countedCrashes && sinceFifth > 2 * contactTime));
        soundSent += isCounted ? 1 : 0;
        bool isTrial = false;
        if (gateway.detector->checkRequest(RequestId("r"), suspects, holdsLease(i), isTrial,
                                           m_now)) {
            soundRefused += isCounted ? 1 : 0;
            return;
        }
        Server &server = m_servers[below(m_servers.size())];
        if (m_now < server.downUntil)
            return;
        server.runs.push_back({static_cast<int>(i), suspects, m_now + answerDelay, false});
        if (isGuilty && crashes >= countedCrashes && sinceFifth > contactTime && isBound)
            ++lateRequests;
    }

    void answer()
    {
        for (std::size_t i = 0; i < m_servers.size(); ++i) {
            Server &server = m_servers[i];
            bool isCrashing = false;
            for (Run &it : server.runs) {
                if (it.hasAnswered || m_now < it.answersAt)
                    continue;
                it.hasAnswered = true;
                isCrashing = isCrashing || it.suspects.back() == guilty;
                if (it.suspects.back() != guilty)
                    m_gateways[static_cast<std::size_t>(it.gateway)].detector->recordSurvival(
                        it.suspects);
            }
            if (isCrashing) {
                if (++crashes <= countedCrashes)
                    m_fifthCrashAt = m_now;
                crash(i);
            }
            std::erase_if(server.runs, [this](const Run &it) {
                return it.hasAnswered && m_now - it.answersAt > 500ms;
            });
        }
    }

    void crash(std::size_t i)
    {
        Server &server = m_servers[i];
        const ServerName name("server-" + std::to_string(i));
        const Incarnation incarnation(server.incarnation);
        for (const Run &it : server.runs) {
            CrashingRequestDetector &detector
                = *m_gateways[static_cast<std::size_t>(it.gateway)].detector;
            detector.recordConnectionLoss(detector.unsurvived(it.suspects), name, incarnation,
                                          m_now);
            detector.recordServerLoss(name, incarnation, m_now);
        }
        server.runs.clear();
        ++server.incarnation;
        server.downUntil = m_now + crashTime;
    }

    void injectGatewayFault(std::size_t i)
    {
        if (random() < 0.5) {
            restart(i, 500ms);
            return;
        }
        m_gateways[i].cutUntil = m_now + 2s;
        m_gateways[i].faultAt = m_now + 2s;
    }

    void restart(std::size_t i, Duration downTime)
    {
        m_gateways[i] = makeGateway(static_cast<int>(i));
        m_gateways[i].faultAt = m_gateways[i].downUntil = m_now + downTime;
        for (const CrashRecord &record : m_stored)
            m_gateways[i].detector->addStoredRecord(record, m_now);
    }

    bool isCut(std::size_t i) const
    {
        return m_now < m_gateways[i].cutUntil || m_now < m_gateways[i].downUntil;
    }

    void exchangeMessages()
    {
        for (std::size_t i = 0; i < m_gateways.size(); ++i) {
            const auto news = m_gateways[i].detector->broadcastQueue().nextBatch();
            for (std::size_t k = 0; k < m_gateways.size(); ++k) {
                if (k == i || isCut(i) || isCut(k))
                    continue;
                post(k, news);
                // The peer sees the digest in this message and sends its records.
                const auto &peer = *m_gateways[k].detector;
                if (peer.digest() != m_gateways[i].detector->digest()
                    && random() * static_cast<double>(m_gateways.size()) < 4) {
                    std::vector<CrashNews> records;
                    for (const CrashRecord &it : peer.refusedRecords())
                        records.push_back({it, false});
                    post(i, records);
                }
            }
        }
    }

    void post(std::size_t to, const std::vector<CrashNews> &news)
    {
        if (news.empty() || random() < m_settings.lostMessages)
            return;
        m_messages.push_back(
            {m_now + Duration(static_cast<std::int64_t>(random() * 100'000)), to, news});
    }

    void deliverMessages()
    {
        for (const Message &it : std::exchange(m_messages, {})) {
            if (m_now < it.at) {
                m_messages.push_back(it);
                continue;
            }
            if (m_now < m_gateways[it.to].downUntil)
                continue;
            for (const CrashNews &news : it.news)
                m_gateways[it.to].detector->applyPeerNews(news, m_now);
        }
    }

    void saveRecords()
    {
        if (holdsLease(m_holder))
            m_stored = m_gateways[m_holder].detector->refusedRecords();
    }

    const Settings m_settings;
    std::mt19937_64 m_random;
    Instant m_now{Duration(1h)};
    std::vector<Gateway> m_gateways;
    std::vector<Server> m_servers;
    std::vector<Message> m_messages;
    std::vector<CrashRecord> m_stored; // in the platform's store
    Instant m_nextMessages;
    Instant m_fifthCrashAt;
    std::size_t m_holder = 0;
    Instant m_leaseFrom;
};

// Runs \a seeds schedules and checks both guarantees.
void expectBound(const Settings &settings, int seeds)
{
    int crashes = 0;
    int sent = 0;
    int refused = 0;
    for (int seed = 1; seed <= seeds; ++seed) {
        Fleet fleet(settings, static_cast<std::uint64_t>(seed));
        fleet.run();
        EXPECT_LE(fleet.lateRequests, allowedRequests) << "seed " << seed;
        EXPECT_LE(2 * fleet.soundRefused, fleet.soundSent) << "seed " << seed;
        crashes += fleet.crashes;
        sent += fleet.soundSent;
        refused += fleet.soundRefused;
    }
    std::cout << "crashes a schedule " << static_cast<double>(crashes) / seeds
              << ", sound requests refused " << refused << " of " << sent << std::endl;
}

} // namespace

TEST(CrashingPartScheduleTest, sendsFewRequestsAfterTheFifthCrashOverAllGateways)
{
    for (const int gateways : {2, 5, 40}) {
        for (const double perSecond : {0.3, 3.0, 20.0}) {
            Settings settings;
            settings.gateways = gateways;
            settings.crashingPerSecond = perSecond;
            expectBound(settings, gateways > 10 ? 4 : 12);
        }
    }
}

TEST(CrashingPartScheduleTest, keepsTheBoundWhenAllGatewaysRestart)
{
    Settings settings;
    settings.restartsAllGateways = true;
    expectBound(settings, 25);
}

// The part that all requests share must not be refused because servers crash for another reason.
TEST(CrashingPartScheduleTest, servesSoundRequestsWhileServersCrashForOtherReasons)
{
    Settings settings;
    settings.hasOtherCrashes = true;
    expectBound(settings, 25);
    settings.crashingPerSecond = 0;
    expectBound(settings, 10);
}
