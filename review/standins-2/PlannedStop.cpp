// A gateway is stopped as planned while callers have a second request on a channel whose first one
// is still being answered.
#include "Callers.h"

#include <csignal>
#include <cstdlib>

using namespace review;

namespace {

constexpr double memoryMb = 260;
constexpr int callersPerGateway = 6;
constexpr std::int64_t orderAfterMs = 1'800; // after the stream; it runs until 2.5 s
constexpr std::int64_t stopAfterMs = 2'100;
constexpr int events = 50;
constexpr std::int64_t eventPauseMs = 50;
constexpr std::int64_t lossSlackMs = 200;
constexpr std::int64_t routeTimeoutMs = 1'000; // and the caller's time limit

std::mutex mutexOfRuns;
std::set<std::string> arrived;

} // namespace

int main(int argc, char **argv)
{
    if (argc < 4)
        return 2;
    const std::string program = argv[1];
    const std::string folder = argv[2];
    Record::open(argv[3]);
    const char *setting = std::getenv("TROUBLE");
    const bool isTroubled = !setting || std::string(setting) != "0";
    signal(SIGPIPE, SIG_IGN);

    Store store;
    store.put("op", "config", smallConfiguration({"m0"}).dump());
    const Engine::Handler serve = [](Engine &self, Channel &channel, Message &request) {
        if (!channel.readBody(request, nowMs() + 30'000))
            return false;
        const std::string id = request.get("Attempt-Id");
        Record::line("engine " + self.settings().id + " runs " + id);
        {
            const std::lock_guard lock(mutexOfRuns);
            arrived.insert(id);
        }
        const std::string fields
            = "Response-Stamp: " + self.settings().id + "\r\n" + self.fields(request);
        if (!self.settings().isModelEngine) {
            sleepMs(30);
            return channel.send("HTTP/1.1 200 -\r\n" + fields + "Content-Length: 800\r\n\r\n"
                                + std::string(800, 'x'));
        }
        if (!channel.send("HTTP/1.1 200 -\r\n" + fields
                          + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"))
            return false;
        for (int i = 1; i <= events; ++i) {
            const std::string event
                = "id: " + std::to_string(i) + "\ndata: piece " + std::to_string(i) + "\n\n";
            char size[16];
            std::snprintf(size, sizeof size, "%zx\r\n", event.size());
            if (!channel.send(size + event + "\r\n"))
                return false;
            sleepMs(eventPauseMs);
        }
        return channel.send("0\r\n\r\n");
    };
    std::vector<std::unique_ptr<Engine>> engines;
    for (int i = 1; i <= 3; ++i) {
        engines.push_back(std::make_unique<Engine>(
            store, Engine::Settings{"llm-" + std::to_string(i), "llm", true, {"m0"}, 64}, serve));
        engines.push_back(std::make_unique<Engine>(
            store, Engine::Settings{"app-" + std::to_string(i), "app", false, {}, 6}, serve));
    }
    std::vector<std::unique_ptr<Gateway>> gateways;
    for (const char *name : {"front-a-1", "front-a-2"})
        gateways.push_back(
            std::make_unique<Gateway>(program, folder, name, "a", store.port(), memoryMb));
    for (auto &it : gateways)
        it->start();
    for (auto &it : gateways) {
        if (!it->waitUntilReady(15'000))
            return 2;
    }
    sleepMs(1'000);
    Record::line(std::string("gateways are ready; trouble: ") + (isTroubled ? "yes" : "no"));

    std::atomic<int> lost{0}, answered{0}, notRead{0}, streamsWhole{0};
    std::vector<std::thread> callers;
    const std::int64_t begunAt = nowMs();
    for (int i = 0; i < 2 * callersPerGateway; ++i) {
        callers.emplace_back([&, i] {
            const Gateway &gateway = *gateways[static_cast<std::size_t>(i) % 2];
            const int fd = connectTo(gateway.port());
            if (fd < 0)
                return;
            Channel channel(fd);
            const std::string name = "c" + std::to_string(i);
            const auto head = [](const std::string &method, const std::string &target,
                                 const std::string &id, int deadlineMs) {
                return method + " " + target + " HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: " + id
                    + "\r\nDeadline-Ms: " + std::to_string(deadlineMs) + "\r\nApi-Key: " + apiKey
                    + "\r\n";
            };
            const std::string quote = name + "-quote";
            const std::string order = name + "-order";
            channel.send(head("POST", "/quote/q", quote, 15'000)
                         + "Model: m0\r\nToken-Count: 600,250\r\nPrompt-Prefix: 1:400,"
                         + std::to_string(100 + i) + ":200\r\nContent-Length: 4\r\n\r\nabcd");
            auto first = channel.readHead(begunAt + 15'000); // the status, so the next request may go
            sleepMs(begunAt + orderAfterMs - nowMs());
            channel.send(head("POST", "/order-place/o", order, 1'000)
                         + "Content-Length: 5\r\n\r\nhorse");
            const std::int64_t sentAt = nowMs();
            Record::line(name + " at " + gateway.name() + " has sent " + quote + " and " + order
                         + " on one channel");
            const bool isWhole = first && channel.readBody(*first, begunAt + 15'000);
            if (isWhole && first->status == 200)
                ++streamsWhole;
            Record::line(quote + ": status " + std::to_string(first ? first->status : 0)
                         + (isWhole ? ", whole" : ", not whole") + ", Connection: "
                         + (first && !first->get("Connection").empty() ? first->get("Connection")
                                                                       : "not stated"));
            auto second = channel.readHead(begunAt + 15'000);
            const std::int64_t endedAt = nowMs();
            if (second && channel.readBody(*second, begunAt + 15'000)) {
                ++answered;
                Record::line(order + ": status " + std::to_string(second->status) + ", whole");
                return;
            }
            // A channel that is closed with bytes that its process has not read is reset; one that
            // ends in order shows that the process had read all of them.
            const bool isRead = channel.ended() && !channel.wasReset();
            const bool isLate = endedAt - sentAt > lossSlackMs;
            bool hasRun = false;
            {
                const std::lock_guard lock(mutexOfRuns);
                hasRun = arrived.count(order) > 0;
            }
            if (isRead && isLate && endedAt - sentAt < routeTimeoutMs)
                ++lost;
            else
                ++notRead;
            Record::line(order + ": no answer; the channel ended " + std::to_string(endedAt - sentAt)
                         + " ms after its last byte was sent, "
                         + (isRead ? "in order: the process had read it" : "with a reset or never")
                         + "; run by an engine: " + (hasRun ? "yes" : "no"));
        });
    }
    sleepMs(stopAfterMs);
    if (isTroubled) {
        Record::line("front-a-1 gets SIGTERM");
        gateways[0]->signal(SIGTERM);
    }
    for (std::thread &it : callers)
        it.join();
    Record::line("streams whole: " + std::to_string(streamsWhole) + "; orders answered: "
                 + std::to_string(answered) + "; orders read and never answered: "
                 + std::to_string(lost) + "; other: " + std::to_string(notRead));
    Record::line(std::string("LOST: ") + (lost > 0 ? "broken" : "held"));
    const bool isBroken = lost > 0;
    const bool isUsable = streamsWhole == 2 * callersPerGateway;
    gateways.clear();
    std::_Exit(isBroken ? 1 : isUsable ? 0 : 2);
}
