// Two gateways. One is cut off from the store and gets the list of servers from the other, which is
// restarted as planned meanwhile. A server leaves during the restart. When the cut has healed, the
// first gateway must not send requests to that server any more.

#include "Fleet.h"

#include <csignal>

using namespace review;

namespace {

constexpr milliseconds cutTime{5500}; // the site's core_cut
constexpr milliseconds restartDelay{500};
constexpr std::int64_t contactMs = 3000;
constexpr std::int64_t drainMs = 2000;
constexpr milliseconds servedAfterRemoval{12'000};
constexpr milliseconds requestInterval{8};
constexpr milliseconds workTime{30}; // the site's work_ms

std::string configuration()
{
    const Json route{{"name", "r-order"},   {"host", "shop.example"},
                     {"prefix", "/order/"}, {"kind", "non_idempotent"},
                     {"timeout_ms", 1000},  {"target_latency_ms", 150},
                     {"priority", 2},       {"service", "order-app"},
                     {"max_attempts", 1},   {"public", false},
                     {"sticky", false},     {"resumable", false}};
    const Json service{{"name", "order-app"},
                       {"health_path", "/health"},
                       {"max_conns", 100},
                       {"protocol", "h1"},
                       {"tls", false}};
    const Json limits{{"max_header_bytes", 16384},
                      {"max_body_bytes", 4194304},
                      {"header_timeout_ms", 3000},
                      {"idle_timeout_ms", 15000}};
    const Json tenant{{"name", "dealer"},    {"api_keys", Json::array({"key"})},
                      {"priority", 1},       {"unit", "tokens"},
                      {"plain_tokens", 200}, {"rate_per_s", 0},
                      {"burst", 0}};
    return Json{{"version", 1},
                {"routes", Json::array({route})},
                {"services", Json::array({service})},
                {"limits", limits},
                {"tenants", Json::array({tenant})}}
        .dump();
}

struct Sent
{
    std::string gateway;
    std::int64_t at = 0;
};

std::map<std::string, Sent> sent; // by attempt
std::string leavingServer;
std::int64_t removedAt = -1;
std::int64_t inTouchFrom = -1; // of the gateway that was cut off
int late = 0;
int lost = 0; // of the late ones
std::int64_t latest = 0;
std::set<std::string> lateAttempts;

void send(HttpClient &client, const std::string &gateway)
{
    static int count = 0;
    char id[24];
    std::snprintf(id, sizeof id, "%016x", ++count);
    const std::string attempt = id;
    sent[attempt] = {gateway, nowMs()};
    record("sent      " + attempt + " to " + gateway);
    client.call("POST /order/1 HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: " + attempt
                    + "\r\nDeadline-Ms: 1000\r\nApi-Key: key\r\nContent-Length: 2\r\n\r\nhi",
                milliseconds(1500), [attempt](const HttpCallResult &result) {
                    record("answered  " + attempt + " status " + std::to_string(result.status));
                    if (lateAttempts.count(attempt) > 0 && result.status != 200)
                        ++lost;
                });
}

void onRun(const std::string &server, const std::string &attempt)
{
    const auto it = sent.find(attempt);
    if (it == sent.end() || server != leavingServer || nowMs() <= removedAt + drainMs)
        return;
    if (inTouchFrom < 0 || it->second.at < inTouchFrom)
        return;
    ++late;
    lateAttempts.insert(attempt);
    latest = std::max(latest, nowMs() - removedAt);
    record("BROKEN    " + attempt + " reached " + server + " through " + it->second.gateway + ", "
           + std::to_string(nowMs() - removedAt) + " ms after the removal of its entry");
}

} // namespace

int main(int argc, char **argv)
{
    begin(argc, argv);
    Store store;
    store.put("op", "config", configuration());
    std::deque<PlainServer> servers;
    for (const char *id : {"i-1", "i-2", "i-3"}) {
        servers.emplace_back(store, id, "order-app");
        servers.back().setRunHook(onRun);
        servers.back().runTime = workTime;
        runFor(milliseconds(300));
    }
    Gateway cutOff(store, "front-tacoma-1", "tacoma");
    Gateway restarted(store, "front-tacoma-2", "tacoma");
    cutOff.start();
    restarted.start();
    HttpClient client(loop(), cutOff.callers(), quetzalyoke::HttpClientConnection::Limits());
    for (Gateway *gateway : {&cutOff, &restarted}) {
        if (!runUntil([gateway] { return gateway->isReady(); }, milliseconds(8000)))
            return 2;
    }
    const auto sendFor = [&](milliseconds time) {
        const std::int64_t end = nowMs() + time.count();
        while (nowMs() < end) {
            send(client, cutOff.name());
            runFor(requestInterval);
        }
    };
    sendFor(milliseconds(contactMs + 1000));

    // Planned work: a rolling restart, and a server that leaves.
    const std::int64_t cutAt = nowMs();
    if (isTroubled()) {
        record("cut       " + cutOff.name() + " from the store", true);
        cutOff.storeLink().setState(LinkState::Stalled);
    }
    restarted.signal(SIGTERM);
    sendFor(milliseconds(800));
    leavingServer = servers[0].id();
    removedAt = servers[0].leaveUnannounced();
    record("removed   the entry of " + leavingServer + "; it serves for "
               + std::to_string(servedAfterRemoval.count()) + " ms more",
           true);
    after(servedAfterRemoval, [&servers] {
        record("exit      " + leavingServer, true);
        servers[0].exit();
    });
    int status = 0;
    while (!restarted.hasEnded(status))
        sendFor(milliseconds(50));
    record("ended     " + restarted.name(), true);
    sendFor(restartDelay);
    restarted.start();
    sendFor(milliseconds(cutAt + cutTime.count() - nowMs()));
    cutOff.storeLink().setState(LinkState::Open);
    record("healed    " + cutOff.name(), true);
    sendFor(milliseconds(contactMs));
    inTouchFrom = nowMs();
    record("in touch  " + cutOff.name(), true);
    sendFor(milliseconds(removedAt + servedAfterRemoval.count() + 2000 - nowMs()));
    runFor(milliseconds(1500));
    record(std::to_string(late) + " requests reached " + leavingServer
               + " over 2000 ms after its removal, through a gateway in touch, the latest "
               + std::to_string(latest) + " ms after; " + std::to_string(lost)
               + " of them were lost when it ended",
           true);
    return late > 0 ? 1 : 0;
}
