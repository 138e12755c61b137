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

// Simulates many gateways and a few plain servers with few slots on a virtual clock. Gateways send
// each other their work at an interval that grows with their number; servers state their load in
// each response.
class PlainFleet
{
public:
    struct Settings
    {
        int gateways = 31;
        int servers = 4;
        int slots = 6;
        int queue = 4; ///< Requests that wait at a server beyond its slots.
        double utilization = 0.7; ///< Share of all slots that is used on average.
        Duration work{60'000};
        bool statesLoad = true;
        std::uint64_t seed = 1;
    };

    struct Result
    {
        int arrivals = 0; ///< Requests that reached a server.
        int rejected = 0; ///< Requests that a server rejected.
        int done = 0;
        int waits = 0; ///< Waits at a gateway because all servers were full.
        std::vector<Duration> times; ///< From the request to its response.

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
                m_gateways.back()->directory.put(listed, start);
            }
        }
    }

    Result run(Duration length)
    {
        const Duration step = 1ms;
        const Duration messageInterval = 16ms * (m_settings.gateways - 1);
        const double perStep = m_settings.utilization * m_settings.servers * m_settings.slots
            * static_cast<double>(step.count()) / static_cast<double>(m_settings.work.count());
        std::poisson_distribution<int> arrivals(perStep);
        for (Instant now = start; now < start + length; now += step) {
            finish(now);
            for (int n = arrivals(m_random); n > 0; --n)
                m_waiting.push_back({randomIndex(m_settings.gateways), now, now, {}});
            dispatch(now);
            for (int i = 0; i < m_settings.gateways; ++i) {
                // Each gateway has its own phase within the interval.
                const Duration phase = messageInterval * i / m_settings.gateways;
                if ((now - start) % messageInterval == phase - phase % step)
                    sendWorkToPeers(i);
            }
        }
        return m_result;
    }

private:
    struct Gateway
    {
        explicit Gateway(const ZoneName &zone) : chooser(ServerChooser::Settings(), zone) { }
        ServerDirectory directory{2s};
        ServerChooser chooser;
    };
    struct Request
    {
        int gateway;
        Instant since;
        Instant retryAt;
        std::set<ServerName> excluded; ///< Not used until retryAt.
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
    int randomIndex(int n) { return static_cast<int>(m_random() % static_cast<unsigned>(n)); }

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
                applyResponse(request.gateway, k, now);
            }
        }
    }

    // Applies the response of a server at the gateway: its own work and the stated load.
    void applyResponse(int gateway, int k, Instant now)
    {
        ServerState *state = m_gateways[static_cast<std::size_t>(gateway)]->directory.find(name(k));
        --state->ownWork.requestsInFlight;
        const Server &server = m_servers[static_cast<std::size_t>(k)];
        if (m_settings.statesLoad) {
            state->loadEstimator.record(static_cast<int>(server.running.size()),
                                        static_cast<int>(server.waiting.size()), now);
        }
    }

    void dispatch(Instant now)
    {
        const RequestMetadata metadata;
        const std::vector<std::uint64_t> prefixHashes;
        std::deque<Request> waiting;
        waiting.swap(m_waiting);
        for (Request &request : waiting) {
            Gateway &gateway = *m_gateways[static_cast<std::size_t>(request.gateway)];
            if (now < request.retryAt) {
                m_waiting.push_back(request);
                continue;
            }
            const ServerChoice choice = gateway.chooser.choose(
                {&m_service, &metadata, &prefixHashes, request.excluded}, gateway.directory, now);
            if (choice.outcome != ServerChoice::Outcome::Chosen) {
                ++m_result.waits;
                request.retryAt = now + (request.excluded.empty() ? 50ms : 20ms);
                request.excluded.clear();
                m_waiting.push_back(request);
                continue;
            }
            const int k = std::stoi(choice.server.text().substr(7));
            Server &server = m_servers[static_cast<std::size_t>(k)];
            ++m_result.arrivals;
            ++gateway.directory.find(choice.server)->ownWork.requestsInFlight;
            if (server.running.size() < static_cast<std::size_t>(m_settings.slots)) {
                begin(server, request, now);
            } else if (server.waiting.size() < static_cast<std::size_t>(m_settings.queue)) {
                server.waiting.push_back(request);
            } else {
                ++m_result.rejected;
                applyResponse(request.gateway, k, now);
                request.retryAt = now + 3ms;
                request.excluded.insert(choice.server);
                m_waiting.push_back(request);
            }
        }
    }

    void sendWorkToPeers(int i)
    {
        ServerDirectory::WorkByServerHash work;
        for (const auto &[id, state] :
             m_gateways[static_cast<std::size_t>(i)]->directory.servers()) {
            if (state.ownWork.requestsInFlight > 0)
                work[state.idHash] = state.ownWork;
        }
        for (int k = 0; k < m_settings.gateways; ++k) {
            if (k != i)
                m_gateways[static_cast<std::size_t>(k)]->directory.setPeerWork(
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

// Load pattern: 31 gateways keep four servers of six slots 70% busy with requests of 60 ms, much
// shorter than the interval of peer messages. The baseline knows loads from peer messages alone.
TEST(PlainPlacementTest, spreadsRequestsOverServersWithFewSlots)
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
                      << it->rejectedShare() << " held " << it->waits << " p50 "
                      << it->percentile(0.5).count() / 1000 << " p95 "
                      << it->percentile(0.95).count() / 1000 << " ms\n";
        }
        EXPECT_LT(result.rejectedShare(), 0.03);
        EXPECT_LT(result.percentile(0.95), baseline.percentile(0.95));
    }
}
