// Callers take streams up whose last event they have already, and the engines have nothing to add.
#include "Callers.h"

#include <csignal>
#include <cstdlib>

using namespace review;

namespace {

constexpr double memoryMb = 260;
constexpr int callersPerGateway = 5;
constexpr int gatewayCount = 3;
constexpr int resetChannels = 3; // at one gateway: 0.33 of the machines, 0.6 of its channels
constexpr int events = 5;
constexpr std::int64_t lastPauseMs = 300; // between the last event and the end of the stream

std::string chunk(const std::string &text)
{
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    return size + text + "\r\n";
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

    Store store;
    nlohmann::json config = smallConfiguration({"m0"});
    for (nlohmann::json &route : config["routes"]) {
        if (route["kind"] == "stream") {
            route["resumable"] = true;
            route["max_attempts"] = 2;
        }
    }
    store.put("op", "config", config.dump());
    const Engine::Handler serve = [](Engine &self, Channel &channel, Message &request) {
        if (!channel.readBody(request, nowMs() + 30'000))
            return false;
        const std::string fields
            = "Response-Stamp: " + self.settings().id + "\r\n" + self.fields(request);
        const int last = std::atoi(request.get("Last-Event-Id").c_str());
        Record::line("engine " + self.settings().id + " runs " + request.get("Attempt-Id")
                     + (last > 0 ? " after event " + std::to_string(last) : ""));
        if (!self.settings().isModelEngine) {
            sleepMs(20);
            return channel.send("HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 800\r\n\r\n"
                                + std::string(800, 'x'));
        }
        // Nothing is left to send: 204 tells a caller of an event stream not to come again.
        if (last >= events)
            return channel.send("HTTP/1.1 204 No Content\r\n" + fields + "\r\n");
        if (!channel.send("HTTP/1.1 200 OK\r\n" + fields
                          + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"))
            return false;
        for (int i = last + 1; i <= events; ++i) {
            if (!channel.send(chunk("id: " + std::to_string(i) + "\ndata: piece\n\n")))
                return false;
            sleepMs(40);
        }
        sleepMs(lastPauseMs);
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
    for (const char *name : {"front-a-1", "front-a-2", "front-a-3"})
        gateways.push_back(
            std::make_unique<Gateway>(program, folder, name, "a", store.port(), memoryMb));
    for (auto &it : gateways)
        it->start();
    for (auto &it : gateways) {
        if (!it->waitUntilReady(15'000))
            return 2;
    }
    sleepMs(1'500);
    Record::line(std::string("gateways are ready; trouble: ") + (isTroubled ? "yes" : "no"));

    std::atomic<int> spoilt{0}, sound{0}, other{0};
    std::vector<std::thread> callers;
    for (int i = 0; i < gatewayCount * callersPerGateway; ++i) {
        callers.emplace_back([&, i] {
            const Gateway &gateway = *gateways[static_cast<std::size_t>(i % gatewayCount)];
            const std::string name = "c" + std::to_string(i);
            const auto text = [&](const std::string &target, const std::string &id,
                                  const std::string &more) {
                return "POST " + target + " HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: " + id
                    + "\r\nDeadline-Ms: 1000\r\nApi-Key: " + apiKey + "\r\n" + more
                    + "Content-Length: 4\r\n\r\nabcd";
            };
            const std::string prompt = "Model: m0\r\nToken-Count: 600,25\r\nPrompt-Prefix: 1:400,"
                + std::to_string(100 + i) + ":200\r\n";
            auto channel = std::make_unique<Channel>(connectTo(gateway.port()));
            channel->send(text("/quote/q", name + "-quote", prompt));
            auto head = channel->readHead(nowMs() + 3'000);
            const std::string lastEvent = "id: " + std::to_string(events) + "\n";
            while (head && channel->buffer().find(lastEvent) == std::string::npos
                   && channel->receive(nowMs() + 3'000)) { }
            if (!head || head->status != 200
                || channel->buffer().find(lastEvent) == std::string::npos) {
                ++other;
                return;
            }
            const bool isReset
                = isTroubled && i % gatewayCount == 0 && i / gatewayCount < resetChannels;
            if (isReset) {
                // The channel breaks after the last event and before the end of the stream.
                const linger reset{1, 0};
                setsockopt(channel->fd(), SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
                channel = std::make_unique<Channel>(connectTo(gateway.port()));
                channel->send(text("/quote/q", name + "-again",
                                   prompt + "Last-Event-Id: " + std::to_string(events) + "\r\n"));
                head = channel->readHead(nowMs() + 3'000);
                if (!head || head->status != 204) {
                    Record::line(name + ": the take-up got "
                                 + std::to_string(head ? head->status : 0));
                    ++other;
                    return;
                }
                sleepMs(100);
                while (channel->receive(nowMs() + 50)) { }
            } else {
                while (!channel->buffer().ends_with("0\r\n\r\n")
                       && channel->receive(nowMs() + 3'000)) { }
                channel->buffer().clear();
            }
            // An answer with status 204 ends with its head, so nothing may be on the channel now.
            std::string early = channel->buffer();
            channel->send(text("/order-place/o", name + "-order", ""));
            while (channel->buffer().find("\r\n\r\n", early.size()) == std::string::npos
                   && channel->receive(nowMs() + 2'000)) { }
            const std::string first = channel->buffer().substr(0, 15);
            const bool isAnswer = first.starts_with("HTTP/1.1 200");
            ++(isAnswer && early.empty() ? sound : spoilt);
            for (std::string *it : {&early}) {
                std::string shown;
                for (const char c : *it)
                    shown += c == '\r' ? "\\r" : c == '\n' ? "\\n" : std::string(1, c);
                *it = shown;
            }
            Record::line(name + ": before the order was sent, the channel held \"" + early
                         + "\"; what followed " + (isAnswer ? "began" : "did not begin")
                         + " with a status line");
        });
    }
    for (std::thread &it : callers)
        it.join();
    Record::line("channels that were sound: " + std::to_string(sound) + "; with bytes that are no "
                 "answer: " + std::to_string(spoilt) + "; other: " + std::to_string(other));
    Record::line(std::string("MIXED: ") + (spoilt > 0 ? "broken" : other > 0 ? "can't say" : "held"));
    gateways.clear();
    std::_Exit(spoilt > 0 ? 1 : other > 0 ? 2 : 0);
}
