#include "Serving/Servers/ServerChooser.h"

#include <gtest/gtest.h>

#include <deque>
#include <memory>
#include <random>
#include <set>

using namespace quetzalyoke;
using namespace std::chrono_literals;

namespace {

const Instant start{1h};
const ServiceName app("app");

// Many gateways before a few plain servers of few slots, on a virtual clock. Gateways hear of each
// other's work as often as their number allows; servers state their load in each answer.
class PlainFleet
{
public:
    struct Settings
    {
        int gateways = 31;
        int servers = 4;
        int slots = 6;
        int queue = 4; ///< Of a server, beyond its slots.
        double use = 0.7; ///< Of all slots.
        Duration work{60'000};
        bool statesLoad = true;
        std::uint64_t seed = 1;
    };

    struct Result
    {
        int arrivals = 0; ///< At servers.
        int rejected = 0; ///< By servers.
        int done = 0;
        int held = 0; ///< Waits at the gateway, all servers being full.
        std::vector<Duration> times; ///< From the request to its answer.

        double rejectedShare() const { return static_cast<double>(rejected) / arrivals; }
        Duration percentile(double share)
        {
            std::sort(times.begin(), times.end());
            return times[static_cast<std::size_t>(share * static_cast<double>(times.size() - 1))];
        }
    };

    explicit PlainFleet(const Settings &settings) : m_settings(settings), m_random(settings.seed)
    {
        m_service.name = app;
        m_servers.resize(static_cast<std::size_t>(settings.servers));
        for (int i = 0; i < settings.gateways; ++i) {
            m_gateways.push_back(std::make_unique<Gateway>(zone(i)));
            for (int k = 0; k < settings.servers; ++k) {
                ListedServer listed;
                listed.id = name(k);
                listed.service = app;
                listed.zone = zone(k);
                listed.address = name(k).text();
                listed.slots = settings.slots;
                m_gateways.back()->book.put(listed, start);
            }
        }
    }

    Result run(Duration length)
    {
        const Duration step = 1ms;
        const Duration newsInterval = 16ms * (m_settings.gateways - 1);
        const double perStep = m_settings.use * m_settings.servers * m_settings.slots
            * static_cast<double>(step.count()) / static_cast<double>(m_settings.work.count());
        std::poisson_distribution<int> arrivals(perStep);
        for (Instant now = start; now < start + length; now += step) {
            finish(now);
            for (int n = arrivals(m_random); n > 0; --n)
                m_waiting.push_back({pick(m_settings.gateways), now, now, {}});
            place(now);
            for (int i = 0; i < m_settings.gateways; ++i) {
                // Each at its own moment within the interval.
                const Duration phase = newsInterval * i / m_settings.gateways;
                if ((now - start) % newsInterval == phase - phase % step)
                    tellPeers(i);
            }
        }
        return m_result;
    }

private:
    struct Gateway
    {
        explicit Gateway(const ZoneName &zone) : chooser(ServerChooser::Settings(), zone) { }
        ServerDirectory book{2s};
        ServerChooser chooser;
    };
    struct Request
    {
        int gateway;
        Instant since;
        Instant retryAt;
        std::set<ServerName> blocked; ///< Until then.
    };
    struct Run
    {
        Request request;
        Instant endsAt;
    };
    struct Server
    {
        std::vector<Run> running;
        std::deque<Request> waiting;
    };

    static ZoneName zone(int i) { return ZoneName("zone-" + std::to_string(i % 4)); }
    static ServerName name(int i) { return ServerName("server-" + std::to_string(i)); }
    int pick(int n) { return static_cast<int>(m_random() % static_cast<unsigned>(n)); }

    void begin(Server &server, const Request &request, Instant now)
    {
        std::uniform_real_distribution<double> spread(0.5, 1.5);
        server.running.push_back({request, now + scaled(m_settings.work, spread(m_random))});
    }

    void finish(Instant now)
    {
        for (int k = 0; k < m_settings.servers; ++k) {
            Server &server = m_servers[static_cast<std::size_t>(k)];
            std::vector<Request> done;
            std::erase_if(server.running, [&](const Run &run) {
                if (run.endsAt <= now)
                    done.push_back(run.request);
                return run.endsAt <= now;
            });
            while (server.running.size() < static_cast<std::size_t>(m_settings.slots)
                   && !server.waiting.empty()) {
                begin(server, server.waiting.front(), now);
                server.waiting.pop_front();
            }
            for (const Request &request : done) {
                ++m_result.done;
                m_result.times.push_back(now - request.since);
                answered(request.gateway, k, now);
            }
        }
    }

    // The gateway's count of its own work goes down, and it sees what the server states.
    void answered(int gateway, int k, Instant now)
    {
        ServerState *state = m_gateways[static_cast<std::size_t>(gateway)]->book.find(name(k));
        --state->ownWork.requestsInFlight;
        const Server &server = m_servers[static_cast<std::size_t>(k)];
        if (m_settings.statesLoad) {
            state->loadEstimator.record(static_cast<int>(server.running.size()),
                                        static_cast<int>(server.waiting.size()), now);
        }
    }

    void place(Instant now)
    {
        const RequestMetadata call;
        const std::vector<std::uint64_t> chain;
        std::deque<Request> waiting;
        waiting.swap(m_waiting);
        for (Request &request : waiting) {
            Gateway &gateway = *m_gateways[static_cast<std::size_t>(request.gateway)];
            if (now < request.retryAt) {
                m_waiting.push_back(request);
                continue;
            }
            const ServerChoice choice = gateway.chooser.choose(
                {&m_service, &call, &chain, request.blocked}, gateway.book, now);
            if (choice.outcome != ServerChoice::Outcome::Chosen) {
                ++m_result.held;
                request.retryAt = now + (request.blocked.empty() ? 50ms : 20ms);
                request.blocked.clear();
                m_waiting.push_back(request);
                continue;
            }
            const int k = std::stoi(choice.server.text().substr(7));
            Server &server = m_servers[static_cast<std::size_t>(k)];
            ++m_result.arrivals;
            ++gateway.book.find(choice.server)->ownWork.requestsInFlight;
            if (server.running.size() < static_cast<std::size_t>(m_settings.slots)) {
                begin(server, request, now);
            } else if (server.waiting.size() < static_cast<std::size_t>(m_settings.queue)) {
                server.waiting.push_back(request);
            } else {
                ++m_result.rejected;
                answered(request.gateway, k, now);
                request.retryAt = now + 3ms;
                request.blocked.insert(choice.server);
                m_waiting.push_back(request);
            }
        }
    }

    void tellPeers(int i)
    {
        ServerDirectory::WorkByServerHash work;
        for (const auto &[id, state] : m_gateways[static_cast<std::size_t>(i)]->book.servers()) {
            if (state.ownWork.requestsInFlight > 0)
                work[state.idHash] = state.ownWork;
        }
        for (int k = 0; k < m_settings.gateways; ++k) {
            if (k != i)
                m_gateways[static_cast<std::size_t>(k)]->book.setPeerWork(
                    InstanceId("gateway-" + std::to_string(i)), work);
        }
    }

    const Settings m_settings;
    std::mt19937_64 m_random;
    ServiceSpec m_service;
    std::vector<std::unique_ptr<Gateway>> m_gateways;
    std::vector<Server> m_servers;
    std::deque<Request> m_waiting;
    Result m_result;
};

} // namespace

// Load pattern: 31 gateways keep four servers of six slots 70% busy with calls of 60 ms, much
// shorter than the time between news. The baseline knows loads from peers' news alone.
TEST(PlainPlacementTest, spreadsCallsOverServersOfFewSlots)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        PlainFleet::Settings settings;
        settings.seed = seed;
        settings.statesLoad = false;
        PlainFleet::Result baseline = PlainFleet(settings).run(30s);
        settings.statesLoad = true;
        PlainFleet::Result result = PlainFleet(settings).run(30s);
        for (auto *it : {&baseline, &result}) {
            std::cout << "seed " << seed << ": arrivals " << it->arrivals << " rejected "
                      << it->rejectedShare() << " held " << it->held << " p50 "
                      << it->percentile(0.5).count() / 1000 << " p95 "
                      << it->percentile(0.95).count() / 1000 << " ms\n";
        }
        EXPECT_LT(result.rejectedShare(), 0.03);
        EXPECT_LT(result.percentile(0.95), baseline.percentile(0.95));
    }
}
