// A gateway is stopped as planned while callers that read slowly still read answers whose engines
// have finished.
#include "Callers.h"

#include <csignal>
#include <cstdlib>

using namespace review;

namespace {

constexpr double memoryMb = 260;
constexpr int callersPerGateway = 5;
constexpr std::size_t answerBytes = 4'000'000;
// A caller reads 64 KB each 100 ms, about 5 Mbit/s, so the answer takes 6 to 7 s.
constexpr std::size_t readBytes = 65'536;
constexpr std::int64_t readPauseMs = 100;
constexpr int callerReceiveBuffer = 65'536;
constexpr int segmentBytes = 1'448; // as on Ethernet; the loopback device has 64 KB
constexpr std::int64_t stopAfterMs = 300; // after the callers begin
constexpr std::int64_t timeLimitMs = 15'000; // of the caller and the route

int connectSlowly(int port)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &callerReceiveBuffer, sizeof callerReceiveBuffer);
    setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segmentBytes, sizeof segmentBytes);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (connect(fd, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

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

    std::atomic<std::int64_t> lastEngineEnd{0};
    Store store;
    nlohmann::json config = smallConfiguration({"m0"});
    for (nlohmann::json &route : config["routes"])
        route["timeout_ms"] = timeLimitMs;
    store.put("op", "config", config.dump());
    const Engine::Handler serve = [&lastEngineEnd](Engine &self, Channel &channel,
                                                   Message &request) {
        if (!channel.readBody(request, nowMs() + 30'000))
            return false;
        const std::string id = request.get("Attempt-Id");
        Record::line("engine " + self.settings().id + " runs " + id);
        const bool isDone = channel.send("HTTP/1.1 200 -\r\nResponse-Stamp: " + self.settings().id
                                         + "\r\n" + self.fields(request) + "Content-Length: "
                                         + std::to_string(answerBytes) + "\r\n\r\n"
                                         + std::string(answerBytes, 'a'));
        Record::line("engine " + self.settings().id + " has finished " + id);
        lastEngineEnd = nowMs();
        return isDone;
    };
    std::vector<std::unique_ptr<Engine>> engines;
    for (int i = 1; i <= 3; ++i)
        engines.push_back(std::make_unique<Engine>(
            store, Engine::Settings{"app-" + std::to_string(i), "app", false, {}, 6}, serve));
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

    std::atomic<int> whole{0}, cut{0}, other{0};
    std::atomic<std::int64_t> stoppedAt{0};
    std::vector<std::thread> callers;
    const std::int64_t begunAt = nowMs();
    for (int i = 0; i < 2 * callersPerGateway; ++i) {
        callers.emplace_back([&, i] {
            const Gateway &gateway = *gateways[static_cast<std::size_t>(i) % 2];
            const int fd = connectSlowly(gateway.port());
            if (fd < 0) {
                ++other;
                return;
            }
            Channel channel(fd);
            const std::string id = "c" + std::to_string(i) + "-stock";
            channel.send("GET /stock/list HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: " + id
                         + "\r\nDeadline-Ms: " + std::to_string(timeLimitMs) + "\r\nApi-Key: "
                         + apiKey + "\r\n\r\n");
            Record::line(id + " sent to " + gateway.name());
            const std::int64_t until = begunAt + timeLimitMs - 500;
            const auto head = channel.readHead(until);
            while (channel.buffer().size() < answerBytes && channel.receive(until, readBytes))
                sleepMs(readPauseMs);
            const std::size_t received = channel.buffer().size();
            const bool isWhole = head && head->status == 200 && received == answerBytes;
            const std::int64_t now = nowMs();
            const std::string at = std::to_string(now - begunAt) + " ms after its start, "
                + (stoppedAt > 0 ? std::to_string(now - stoppedAt) + " ms after SIGTERM, " : "")
                + std::to_string(received) + " bytes received";
            if (isWhole) {
                ++whole;
                Record::line(id + ": whole " + at);
            } else if (channel.ended()) {
                ++cut;
                Record::line(id + ": the channel ended in the middle of the answer " + at);
            } else {
                ++other;
                Record::line(id + ": not whole within its time limit, " + at);
            }
        });
    }
    sleepMs(begunAt + stopAfterMs - nowMs());
    const std::int64_t engineEnd = lastEngineEnd;
    if (isTroubled) {
        Record::line("front-a-1 gets SIGTERM");
        stoppedAt = nowMs();
        gateways[0]->signal(SIGTERM);
    }
    for (std::thread &it : callers)
        it.join();
    // All engines had finished before the signal.
    const bool isUsable = other == 0 && lastEngineEnd == engineEnd;
    Record::line("answers whole: " + std::to_string(whole) + "; cut: " + std::to_string(cut)
                 + "; other: " + std::to_string(other) + "; engines finished before SIGTERM: "
                 + (lastEngineEnd == engineEnd ? "yes" : "no"));
    Record::line(std::string("LOST: ") + (!isUsable ? "can't say" : cut > 0 ? "broken" : "held"));
    gateways.clear();
    std::_Exit(!isUsable ? 2 : cut > 0 ? 1 : 0);
}
