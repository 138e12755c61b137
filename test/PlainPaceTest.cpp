#include "Serving/Servers/ServerChooser.h"

#include <gtest/gtest.h>

#include <deque>
#include <memory>
#include <random>

using namespace quetzalyoke;
using namespace std::chrono_literals;

namespace {

const Instant start{1h};

struct Deployment
{
    int gateways;
    int servers;
    Duration work;
    double requestsPerSecond;
    Duration objective;
};

// Simulates plain servers with six slots, each slowed 2.5 times for 600 ms of every 4 s, on a
// virtual clock. Returns the share of requests that are answered within the objective.
double shareInTime(const Deployment &site, bool statesPace, std::uint64_t seed)
{
    constexpr std::size_t slots = 6;
    struct Gateway
    {
        ServerDirectory directory{2s};
        ServerChooser chooser{ServerChooser::Settings(), ZoneName()};
    };
    struct Request
    {
        int gateway;
        Instant since, sentAt;
        Duration usual;
        double pace;
        double remainingMs; ///< At the usual pace.
    };
    struct Server
    {
        std::vector<Request> running;
        std::deque<Request> waiting;
        Duration phase;
    };
    std::mt19937_64 random(seed);
    ServiceSpec service;
    service.name = ServiceName("app");
    const RequestMetadata metadata;
    const std::vector<std::uint64_t> prefixHashes;
    std::vector<std::unique_ptr<Gateway>> gateways;
    std::vector<Server> servers(static_cast<std::size_t>(site.servers));
    const auto name = [](std::size_t k) { return ServerName("server-" + std::to_string(k)); };
    for (Server &it : servers)
        it.phase = std::chrono::milliseconds(random() % 4000);
    for (int i = 0; i < site.gateways; ++i) {
        gateways.push_back(std::make_unique<Gateway>());
        for (std::size_t k = 0; k < servers.size(); ++k) {
            ListedServer listed;
            listed.id = name(k);
            listed.service = service.name;
            listed.slots = slots;
            gateways.back()->directory.put(listed, start);
        }
    }
    std::poisson_distribution<int> arrivals(site.requestsPerSecond / 1000);
    std::uniform_real_distribution<double> spread(0.5, 1.5);
    int done = 0;
    int inTime = 0;
    for (Instant now = start; now < start + 120s; now += 1ms) {
        for (int n = arrivals(random); n > 0; --n) {
            const int i = static_cast<int>(random() % gateways.size());
            Gateway &gateway = *gateways[static_cast<std::size_t>(i)];
            const ServerChoice choice = gateway.chooser.choose(
                {&service, &metadata, &prefixHashes, {}}, gateway.directory, now);
            if (choice.outcome != ServerChoice::Outcome::Chosen) {
                ++done;
                continue;
            }
            ++gateway.directory.find(choice.server)->ownWork.requestsInFlight;
            servers[static_cast<std::size_t>(std::stoi(choice.server.text().substr(7)))]
                .waiting.push_back({i, now, now, choice.usualTimeToFirstByte, choice.pace,
                                    toSeconds(site.work) * 1000 * spread(random)});
        }
        for (std::size_t k = 0; k < servers.size(); ++k) {
            Server &server = servers[k];
            for (; server.running.size() < slots && !server.waiting.empty();
                 server.waiting.pop_front())
                server.running.push_back(server.waiting.front());
            const double slowness = (now - start + server.phase) % 4s < 600ms ? 2.5 : 1;
            std::erase_if(server.running, [&](Request &it) {
                it.remainingMs -= 1 / slowness;
                if (it.remainingMs > 0)
                    return false;
                ++done;
                inTime += now - it.since <= site.objective ? 1 : 0;
                ServerState &state
                    = *gateways[static_cast<std::size_t>(it.gateway)]->directory.find(name(k));
                --state.ownWork.requestsInFlight;
                state.loadEstimator.record(static_cast<int>(server.running.size()),
                                           static_cast<int>(server.waiting.size()), now);
                if (statesPace)
                    state.pace.record(100 * slowness, now);
                state.health.recordLatency(now - it.sentAt, it.usual,
                                           (it.pace + state.pace.factor(now)) / 2);
                return true;
            });
        }
    }
    return static_cast<double>(inTime) / done;
}

} // namespace

// The plain services of two deployments, at their usual load and near the capacity. Paces that are
// mostly stale, since a gateway hears from a server every second or so, must not make gateways
// crowd the other servers.
TEST(PlainPaceTest, answersNoFewerRequestsInTimeWithStatedPaces)
{
    for (const Deployment &site :
         {Deployment{25, 3, 15ms, 65, 120ms}, Deployment{25, 3, 15ms, 650, 120ms},
          Deployment{28, 4, 60ms, 97, 300ms}, Deployment{28, 4, 60ms, 240, 300ms}}) {
        double without = 0;
        double with = 0;
        for (std::uint64_t seed = 1; seed <= 4; ++seed) {
            without += shareInTime(site, false, seed) / 4;
            with += shareInTime(site, true, seed) / 4;
        }
        std::cout << site.servers << " servers, " << site.requestsPerSecond
                  << " requests/s: in time " << without << " without, " << with << " with pace\n";
        EXPECT_GE(with, without - 0.002);
    }
}
