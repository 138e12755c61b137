// Three gateways in one zone. The one that reads the store for the others is cut off from the
// store; meanwhile the operators withdraw a key. The other two must refuse the key 2 s later.

#include "Fleet.h"

using namespace review;

namespace {

constexpr int rounds = 3;
constexpr int serverCount = 12; // as on the site
constexpr milliseconds beatSpread{100};
constexpr milliseconds cutTime{5500}; // the site's core_cut
constexpr std::int64_t configApplyMs = 2000;
constexpr std::int64_t contactMs = 3000;
constexpr std::int64_t drainMs = 2000;

int version = 1;
std::set<std::string> withdrawn;

std::string configuration()
{
    Json keys = Json::array();
    for (int i = 0; i <= rounds; ++i) {
        const std::string key = "key" + std::to_string(i);
        if (withdrawn.count(key) == 0)
            keys.push_back(key);
    }
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
    const Json tenant{{"name", "dealer"}, {"api_keys", keys},    {"priority", 1},
                      {"unit", "tokens"}, {"plain_tokens", 200}, {"rate_per_s", 0},
                      {"burst", 0}};
    return Json{{"version", version},
                {"routes", Json::array({route})},
                {"services", Json::array({service})},
                {"limits", limits},
                {"tenants", Json::array({tenant})}}
        .dump();
}

struct Sent
{
    std::string key;
    std::string gateway;
    std::int64_t at = 0;
};

std::map<std::string, Sent> sent; // by attempt
std::map<std::string, std::int64_t> acknowledgedAt; // withdrawal of a key, at the store
std::map<std::string, std::int64_t> drainingSince; // by server
int afterDrain = 0;
int late = 0;
std::int64_t latest = 0;

void send(HttpClient &client, const std::string &gateway, const std::string &key)
{
    static int count = 0;
    char id[24];
    std::snprintf(id, sizeof id, "%016x", ++count);
    const std::string attempt = id;
    sent[attempt] = {key, gateway, nowMs()};
    record("sent      " + attempt + " to " + gateway + " with " + key);
    client.call("POST /order/1 HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: " + attempt
                    + "\r\nDeadline-Ms: 1000\r\nApi-Key: " + key
                    + "\r\nContent-Length: 2\r\n\r\nhi",
                milliseconds(1500), [attempt](const HttpCallResult &result) {
                    record("answered  " + attempt + " status " + std::to_string(result.status));
                });
}

void onRun(const std::string &server, const std::string &attempt)
{
    const auto it = sent.find(attempt);
    if (it == sent.end())
        return;
    const auto left = drainingSince.find(server);
    if (left != drainingSince.end() && nowMs() > left->second + drainMs) {
        ++afterDrain;
        record("also      " + attempt + " reached " + server + " through " + it->second.gateway
               + ", " + std::to_string(nowMs() - left->second)
               + " ms after the store had accepted that it drains");
    }
    const auto ack = acknowledgedAt.find(it->second.key);
    if (ack == acknowledgedAt.end() || it->second.at <= ack->second + configApplyMs)
        return;
    ++late;
    latest = std::max(latest, it->second.at - ack->second);
    record("BROKEN    " + attempt + " ran for " + it->second.key + " at " + it->second.gateway
               + ", sent " + std::to_string(it->second.at - ack->second)
               + " ms after the acknowledgement of its withdrawal",
           true);
}

} // namespace

int main(int argc, char **argv)
{
    begin(argc, argv);
    Store store;
    store.put("op", "config", configuration());
    std::deque<PlainServer> servers;
    for (int i = 0; i < serverCount; ++i) {
        servers.emplace_back(store, "i-" + std::to_string(i), "order-app");
        servers.back().setRunHook(onRun);
        runFor(beatSpread);
    }
    std::deque<Gateway> gateways;
    std::map<std::string, std::unique_ptr<HttpClient>> clients;
    for (const char *name : {"front-tacoma-1", "front-tacoma-2", "front-tacoma-3"}) {
        gateways.emplace_back(store, name, "tacoma");
        gateways.back().start();
        clients[name] = std::make_unique<HttpClient>(loop(), gateways.back().callers(),
                                                     quetzalyoke::HttpClientConnection::Limits());
    }
    for (Gateway &gateway : gateways) {
        if (!runUntil([&gateway] { return gateway.isReady(); }, milliseconds(8000)))
            return 2;
    }
    runFor(milliseconds(contactMs + 3000));
    int served = 0;
    for (int round = 0; round < rounds; ++round) {
        const std::string key = "key" + std::to_string(round);
        // Only the gateway that reads the store for the zone still asks it.
        Gateway *reader = nullptr;
        for (Gateway &gateway : gateways) {
            if (nowMs() - store.feedAskedAt(gateway.name(), "servers") < 2000)
                reader = &gateway;
        }
        if (!reader)
            return 2;
        record("reader    " + reader->name(), true);
        // The cut begins 0.1 s after the reader has asked for changes of the operators' text, which
        // it does every 2 s while there are none.
        const std::int64_t before = store.feedAskedAt(reader->name(), "op");
        runUntil([&] { return store.feedAskedAt(reader->name(), "op") != before; },
                 milliseconds(2500));
        runFor(milliseconds(100));
        if (isTroubled()) {
            record("cut       " + reader->name() + " from the store");
            reader->storeLink().setState(LinkState::Stalled);
        }
        runFor(milliseconds(50));
        const std::size_t sentBefore = sent.size();
        ++version;
        withdrawn.insert(key);
        store.put("op", "config", configuration());
        acknowledgedAt[key] = nowMs();
        record("config    version " + std::to_string(version) + " acknowledged, without " + key,
               true);
        PlainServer &leaving = servers[static_cast<std::size_t>(round)];
        drainingSince[leaving.id()] = leaving.drain();
        record("draining  " + leaving.id());
        const std::int64_t end = nowMs() + cutTime.count();
        while (nowMs() < end) {
            for (Gateway &gateway : gateways) {
                if (&gateway == reader)
                    continue; // it is not in touch
                send(*clients[gateway.name()], gateway.name(), key);
                send(*clients[gateway.name()], gateway.name(), "key" + std::to_string(rounds));
            }
            runFor(milliseconds(40));
        }
        reader->storeLink().setState(LinkState::Open);
        record("healed    " + reader->name());
        served += static_cast<int>(sent.size() - sentBefore);
        runFor(milliseconds(9000)); // the reader is used again, and all are in touch
    }
    record(std::to_string(served) + " requests sent, " + std::to_string(late)
               + " ran with a key withdrawn over 2000 ms before, the latest "
               + std::to_string(latest) + " ms after; " + std::to_string(afterDrain)
               + " reached a server over 2000 ms after its draining was accepted",
           true);
    return late > 0 ? 1 : 0;
}
