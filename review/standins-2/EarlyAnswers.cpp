// Engines reject long requests before they are in, keep the channel and read on later.
#include "Callers.h"

#include <csignal>
#include <cstdlib>

using namespace review;

namespace {

constexpr double memoryMb = 260; // of a front machine, as in the site file
constexpr std::size_t longBodyBytes = 4'190'000; // max_body_bytes is 4,194,304
constexpr int longCallers = 10; // together 10 long requests a second, about 21 MB/s at each gateway
constexpr int ordinaryCallers = 80;
constexpr std::int64_t longestRunMs = 100'000;
constexpr int endsForFault = 3;
constexpr double earlyShare = 0.05; // of an engine's answers in one window of trouble
// The trouble lasts as long as the site files have it, several times.
constexpr std::int64_t windowMs = 5'000;
constexpr std::int64_t pauseMs = 1'500;
// The engine reads the rest of a long body at 64 KB a second.
constexpr std::size_t readBytes = 65'536;
constexpr std::int64_t readPauseMs = 1'000;

std::mutex mutexOfRuns;
std::set<std::string> arrived;
std::set<std::string> arrivedAtSound; // at engines that are never in trouble

struct Counts
{
    std::atomic<int> ordinary{0}, ordinaryOk{0}, lost{0}, longSent{0}, longRefused{0}, longOk{0},
        longOther{0}, ranUnanswered{0};
};

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
    std::vector<std::unique_ptr<Engine>> engines;
    std::atomic<int> early{0};
    const std::int64_t begunAt = nowMs();
    for (int i = 1; i <= 5; ++i) {
        const auto answers = std::make_shared<std::atomic<int>>(0);
        const auto window = std::make_shared<std::atomic<std::int64_t>>(0);
        const auto earlyHere = std::make_shared<std::atomic<int>>(0);
        const bool rejectsEarly = isTroubled && i >= 3; // a share of 0.6
        Engine::Settings settings{"app-" + std::to_string(i), "app", false, {}, 6, 65'536};
        engines.push_back(std::make_unique<Engine>(
            store, settings, [rejectsEarly, begunAt, window, answers, earlyHere, &early](Engine &self, Channel &channel, Message &request) {
                const std::size_t length
                    = std::strtoull(request.get("Content-Length").c_str(), nullptr, 10);
                const std::int64_t at = nowMs() - begunAt;
                const bool isInWindow = at % (windowMs + pauseMs) < windowMs;
                const std::int64_t number = at / (windowMs + pauseMs);
                // The share holds in each window by itself.
                if (window->exchange(number) != number) {
                    *answers = 0;
                    *earlyHere = 0;
                }
                const int answered = ++*answers;
                if (rejectsEarly && isInWindow && length > 100'000
                    && *earlyHere + 1 <= earlyShare * answered) {
                    ++*earlyHere;
                    ++early;
                    if (!channel.send("HTTP/1.1 503 -\r\nNot-Executed: 1\r\n" + self.fields(request)
                                      + "Content-Length: 0\r\n\r\n"))
                        return false;
                    return channel.discard(length, readBytes, readPauseMs);
                }
                if (!channel.readBody(request, nowMs() + 30'000))
                    return false;
                {
                    const std::lock_guard lock(mutexOfRuns);
                    arrived.insert(request.get("Attempt-Id"));
                    if (!rejectsEarly)
                        arrivedAtSound.insert(request.get("Attempt-Id"));
                }
                ++self.running;
                sleepMs(10 + std::rand() % 40); // order-place: mean 30 ms
                --self.running;
                return channel.send("HTTP/1.1 200 -\r\nResponse-Stamp: " + self.settings().id + "\r\n"
                                    + self.fields(request) + "Content-Length: 800\r\n\r\n"
                                    + std::string(800, 'x'));
            }));
    }

    std::vector<std::unique_ptr<Gateway>> gateways;
    for (const char *name : {"front-a-1", "front-a-2"})
        gateways.push_back(
            std::make_unique<Gateway>(program, folder, name, "a", store.port(), memoryMb));
    for (auto &it : gateways)
        it->start();
    for (auto &it : gateways) {
        if (!it->waitUntilReady(15'000)) {
            Record::line(it->name() + " did not become ready");
            return 2;
        }
    }
    Record::line(std::string("gateways are ready; trouble: ") + (isTroubled ? "yes" : "no"));

    Counts counts;
    std::atomic<bool> stops{false};
    std::vector<std::thread> callers;
    const std::string longBody(longBodyBytes, 'b');
    for (int i = 0; i < longCallers; ++i) {
        callers.emplace_back([&, i] {
            Caller caller("long" + std::to_string(i));
            sleepMs(i * 1000 / longCallers);
            while (!stops) {
                const std::int64_t next = nowMs() + 1000;
                if ((caller.channel() && caller.channel()->isOpen())
                    || caller.connect(gateways[static_cast<std::size_t>(i) % 2]->port())) {
                    ++counts.longSent;
                    const Answer answer = caller.ask(caller.nextId(), "POST", "/order-place/file",
                                                     "", longBody, 1'000);
                    ++(answer.status == 503        ? counts.longRefused
                           : answer.status == 200 ? counts.longOk
                                                  : counts.longOther);
                }
                sleepMs(next - nowMs());
            }
        });
    }
    for (int i = 0; i < ordinaryCallers; ++i) {
        callers.emplace_back([&, i] {
            Caller caller("order" + std::to_string(i));
            while (!stops) {
                sleepMs(200);
                if (!(caller.channel() && caller.channel()->isOpen())
                    && !caller.connect(gateways[static_cast<std::size_t>(i) % 2]->port()))
                    continue;
                const bool isKept = caller.isKept();
                const std::string id = caller.nextId();
                ++counts.ordinary;
                const Answer answer = caller.ask(id, "POST", "/order-place/small", "",
                                                 std::string(600, 'o'), 1'000);
                if (answer.status == 200)
                    ++counts.ordinaryOk;
                if (answer.status != 0 || answer.gaveUp)
                    continue;
                sleepMs(300); // whatever is on its way to the engine arrives
                const std::lock_guard lock(mutexOfRuns);
                const bool hasRun = arrived.count(id) > 0;
                const bool isAtSound = arrivedAtSound.count(id) > 0;
                counts.ranUnanswered += hasRun ? 1 : 0;
                if (isAtSound && isKept)
                    ++counts.lost;
                Record::line("order " + id + " ended without an answer; run by an engine: "
                             + (hasRun ? "yes" : "no") + ", by one without trouble: "
                             + (isAtSound ? "yes" : "no") + ", kept channel: "
                             + (isKept ? "yes" : "no"));
            }
        });
    }

    // The platform: it kills a process over its memory and starts a process that has ended again.
    std::vector<int> ends(gateways.size(), 0);
    std::vector<std::int64_t> startAt(gateways.size(), 0);
    std::vector<double> peaks(gateways.size(), 0);
    const std::int64_t endAt = nowMs() + longestRunMs;
    while (nowMs() < endAt) {
        sleepMs(10);
        bool isFault = true;
        for (std::size_t i = 0; i < gateways.size(); ++i) {
            Gateway &gateway = *gateways[i];
            isFault = isFault && ends[i] >= endsForFault;
            if (startAt[i] > 0) {
                if (nowMs() < startAt[i])
                    continue;
                startAt[i] = 0;
                gateway.start();
                continue;
            }
            const double mb = gateway.residentMb();
            peaks[i] = std::max(peaks[i], mb);
            if (mb > memoryMb) {
                Record::line(gateway.name() + " holds " + std::to_string(static_cast<int>(mb))
                             + " MB, over its " + std::to_string(static_cast<int>(memoryMb))
                             + " MB: killed");
                gateway.signal(SIGKILL);
                sleepMs(20);
            }
            if (gateway.hasEnded()) {
                ++ends[i];
                Record::line(gateway.name() + " has ended by itself, time "
                             + std::to_string(ends[i]));
                startAt[i] = nowMs() + 1000;
            }
        }
        if (isFault)
            break;
    }
    stops = true;
    for (std::thread &it : callers)
        it.join();
    int machinesWithFault = 0;
    for (std::size_t i = 0; i < gateways.size(); ++i) {
        machinesWithFault += ends[i] >= endsForFault ? 1 : 0;
        Record::line(gateways[i]->name() + ": ended by itself " + std::to_string(ends[i])
                     + " times, peak " + std::to_string(static_cast<int>(peaks[i])) + " MB");
    }
    Record::line("long requests: " + std::to_string(counts.longSent) + " sent, "
                 + std::to_string(counts.longOk) + " answered 200, "
                 + std::to_string(counts.longRefused) + " answered 503, "
                 + std::to_string(counts.longOther) + " other; " + std::to_string(early)
                 + " rejected early by engines");
    Record::line("ordinary orders: " + std::to_string(counts.ordinary) + " sent, "
                 + std::to_string(counts.ordinaryOk) + " answered 200, "
                 + std::to_string(counts.ranUnanswered) + " run by an engine and never answered, "
                 + std::to_string(counts.lost)
                 + " of these at an engine without trouble, from a kept channel");
    const bool isFault = machinesWithFault >= 2;
    const bool isLost = counts.lost > 3;
    Record::line(std::string("Fault: ") + (isFault ? "broken" : "held") + "; LOST: "
                 + (isLost ? "broken" : "held"));
    gateways.clear();
    std::_Exit(isFault || isLost ? 1 : 0);
}
