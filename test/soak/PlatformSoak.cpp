// A randomized soak: entry gateways as separate processes, faults from outside, promises checked
// while it runs. Everything that is drawn comes from the seed; what the processes make of it does
// not, so a seed that failed once may have to be run several times to fail again.

#include "Adapters/Async/ConnectionPool.h"
#include "ChildProcess.h"
#include "Core/Error.h"
#include "LinkRelay.h"
#include "PlatformEngineStandIn.h"
#include "SoakChecks.h"

#include <CLI/CLI.hpp>
#include <boost/asio/ip/udp.hpp>
#include <nlohmann/json.hpp>

#include <csignal>
#include <deque>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <random>

using namespace quetzalyoke;
using namespace quetzalyoke::soak;
using scenarios::ChildProcess;
using scenarios::LinkRelay;
using scenarios::LinkState;
using Json = nlohmann::json;
using Udp = asio::ip::udp;
using std::chrono::milliseconds;

namespace {

constexpr int modelEngines = 4;
constexpr int plainServers = 2;
constexpr int models = 7;
constexpr int accounts = 3;
constexpr double accountRate = 20'000; // tokens a second
constexpr milliseconds tickTime{20};
constexpr milliseconds calmBefore{3000};
constexpr milliseconds calmAfter{9000};
constexpr milliseconds measured{3000};
// Two planned stops that overlap, as long as the gateways' grace, and the last answers.
constexpr milliseconds plannedStops{5000};
constexpr milliseconds stopsApart{700};
constexpr milliseconds lastAnswers{2600};
constexpr double leastServedShare = 0.9; // of what is sent once all is calm again
constexpr int requestsPerTick = 1;
constexpr std::size_t shownLogLines = 3;

// Of this run alone, so that two runs at once can't take each other's ports.
const std::string &ownHost()
{
    static const std::string host = "127." + std::to_string(1 + getpid() / 250 % 250) + "."
        + std::to_string(1 + getpid() % 250) + ".1";
    return host;
}

template<typename Protocol>
bool isFree(int port)
{
    asio::io_context loop;
    typename Protocol::socket socket(loop, Protocol::v4());
    SystemError ec;
    socket.bind({asio::ip::make_address(ownHost()), static_cast<unsigned short>(port)}, ec);
    return !ec;
}

// Each port once in a run. Outside the range from which the system takes the ports of outgoing
// connections, so that a restarted process finds its port free.
int freePort()
{
    static int last = 15'000;
    do {
        ++last;
    } while (!isFree<Tcp>(last) || !isFree<Udp>(last));
    return last;
}

// The end of a process's log, for the report of its failure.
std::string lastLines(const std::string &file)
{
    std::ifstream log(file);
    std::deque<std::string> lines;
    for (std::string line; std::getline(log, line);) {
        lines.push_back(std::move(line));
        if (lines.size() > shownLogLines)
            lines.pop_front();
    }
    std::string text;
    for (const std::string &line : lines)
        text += "\n    " + line;
    return text;
}

std::string name(const char *kind, int i)
{
    return std::string(kind) + "-" + std::to_string(i);
}

struct Gateway
{
    std::string name;
    std::string settingsFile;
    std::string logFile;
    Address callers;
    LinkRelay toStore;
    std::unique_ptr<ChildProcess> process;
    std::unique_ptr<ConnectionPool> pool;
    Instant restartAt; // where it has ended
    bool isFrozen = false;
    bool isStopping = false;
};

struct Server
{
    std::unique_ptr<PlatformEngineStandIn> standIn;
    LinkRelay link;
};

class Soak
{
public:
    Soak(const std::string &programs, std::uint64_t seed, int gateways, milliseconds faultTime)
        : m_program(programs + "/quetzalyoke-entry"), m_random(seed), m_faultTime(faultTime),
          m_folder(std::filesystem::temp_directory_path()
                   / ("quetzalyoke-soak-" + std::to_string(seed) + "-" + std::to_string(getpid()))),
          m_store(m_loop), m_checks(limits())
    {
        std::filesystem::create_directories(m_folder);
        for (int i = 0; i < modelEngines + plainServers; ++i)
            addServer(i);
        for (int i = 0; i < accounts; ++i)
            m_keys.push_back({name("account", i), name("key", i)});
        writeConfiguration();
        for (int i = 0; i < gateways; ++i)
            addGateway(i);
    }

    // Whether every promise was kept.
    bool run()
    {
        const Instant begin = loopNow();
        const Instant faultsFrom = begin + calmBefore;
        const Instant faultsTo = faultsFrom + m_faultTime;
        const Instant measureFrom = faultsTo + calmAfter;
        const Instant end = measureFrom + measured;
        Instant nextFault = faultsFrom;
        int servedBefore = 0;
        bool isHealed = false;
        while (loopNow() < end) {
            m_loop.restart();
            m_loop.run_for(tickTime);
            const Instant now = loopNow();
            tick(now);
            if (now >= nextFault && now < faultsTo) {
                strike(now);
                nextFault = now + milliseconds(pick(150, 900));
            }
            if (now >= faultsTo && !isHealed) {
                healAll(now);
                isHealed = true;
            }
            if (now < measureFrom) {
                servedBefore = m_checks.served;
                m_sentMeasured = 0;
            }
            if (now > begin + calmBefore - milliseconds(1000) && now < end - milliseconds(700))
                sendRequests(now >= measureFrom);
        }
        const int served = m_checks.served - servedBefore;
        stopSome();
        if (served < leastServedShare * m_sentMeasured)
            m_checks.fail("RECOVER: " + std::to_string(served) + " of "
                          + std::to_string(m_sentMeasured) + " served after the faults");
        std::cout << "served " << m_checks.served << ", refused " << m_checks.refused << ", runs "
                  << m_checks.runs << ", in the end " << served << " of " << m_sentMeasured
                  << std::endl;
        for (const auto &gateway : m_gateways)
            gateway->process->signal(SIGKILL);
        if (m_checks.failures().empty())
            std::filesystem::remove_all(m_folder);
        else
            std::cout << "logs: " << m_folder.filename().string() << " in the temporary folder\n";
        return m_checks.failures().empty();
    }

private:
    // Callers go on using connections and opening new ones until the process is gone.
    void stopSome()
    {
        m_checks.beginPlannedStops();
        const Instant begin = loopNow();
        std::size_t stopped = 0;
        while (loopNow() < begin + plannedStops + lastAnswers) {
            m_loop.restart();
            m_loop.run_for(tickTime);
            const Instant now = loopNow();
            if (stopped < std::min<std::size_t>(2, m_gateways.size())
                && now >= begin + stopsApart * (stopped + 1))
                stop(*m_gateways[stopped++]);
            tick(now);
            if (now < begin + plannedStops)
                sendRequests(false);
        }
        m_checks.checkAllEnded();
    }

    static SoakChecks::Limits limits()
    {
        SoakChecks::Limits limits;
        limits.tokensPerSecond = accountRate;
        limits.tokensBurst = accountRate;
        limits.tokensSlack = accountRate;
        return limits;
    }

    int pick(int least, int most)
    {
        return std::uniform_int_distribution<int>(least, most)(m_random);
    }
    bool chance(int n) { return pick(1, n) == 1; }

    void addServer(int i)
    {
        PlatformEngineStandIn::Settings settings;
        settings.isModelEngine = i < modelEngines;
        settings.id = name(settings.isModelEngine ? "engine" : "plain", i);
        settings.service = settings.isModelEngine ? "llm" : "app";
        std::vector<std::string> held;
        for (int k = 0; settings.isModelEngine && k < 2; ++k)
            held.push_back(name("model", (i * 2 + k) % models));
        auto server = std::make_unique<Server>();
        server->standIn
            = std::make_unique<PlatformEngineStandIn>(m_loop, m_store, m_checks, settings, held);
        server->link.setTarget(server->standIn->address());
        server->standIn->enter(server->link.address());
        m_servers.push_back(std::move(server));
    }

    void addGateway(int i)
    {
        auto gateway = std::make_unique<Gateway>();
        gateway->name = name("gateway", i);
        gateway->callers = {ownHost(), freePort()};
        gateway->toStore.setTarget(m_store.address());
        gateway->settingsFile = (m_folder / (gateway->name + ".ini")).string();
        gateway->logFile = (m_folder / (gateway->name + ".log")).string();
        std::ofstream(gateway->settingsFile)
            << "[entry]\ninstance = " << gateway->name
            << "\nzone = east\nlisten_callers = " << gateway->callers.text()
            << "\nlisten_readiness = " << ownHost() << ':' << freePort()
            << "\nlisten_peers = " << ownHost() << ':' << freePort()
            << "\nstore = " << gateway->toStore.address().text() << "\nstop_grace_s = 5\n";
        gateway->pool = std::make_unique<ConnectionPool>(
            m_loop, ClientConnection::Limits{milliseconds(500), milliseconds(3000)});
        start(*gateway);
        m_gateways.push_back(std::move(gateway));
    }

    void start(Gateway &gateway)
    {
        gateway.process
            = std::make_unique<ChildProcess>(m_program, gateway.settingsFile, gateway.logFile);
        gateway.isFrozen = false;
        gateway.isStopping = false;
        m_checks.onDisturbed(gateway.name);
    }

    void writeConfiguration()
    {
        Json json{{"version", ++m_configVersion}};
        const auto route = [](const char *id, const char *prefix, const char *kind,
                              const char *service, int attempts, bool isResumable) {
            return Json{{"name", id},
                        {"host", "soak.example"},
                        {"prefix", prefix},
                        {"kind", kind},
                        {"service", service},
                        {"timeout_ms", 2500},
                        {"target_latency_ms", 600},
                        {"priority", 1},
                        {"max_attempts", attempts},
                        {"public", false},
                        {"resumable", isResumable},
                        {"target_gap_ms", 400}};
        };
        json["routes"] = {route("s", "/s/", "stream", "llm", 1, false),
                          route("r", "/r/", "stream", "llm", 2, true),
                          route("n", "/n/", "non_idempotent", "app", 1, false),
                          route("i", "/i/", "idempotent", "app", 2, false)};
        Json engine{{"slots", 64},
                    {"kv_capacity", 200'000},
                    {"mb", 3000.0},
                    {"adapter_slots", 4},
                    {"loads_per_s", 2.0}};
        for (int i = 0; i < models; ++i) {
            engine["models"].push_back({{"name", name("model", i)},
                                        {"mb", 900.0},
                                        {"load_s", 0.3},
                                        {"adapters", 3},
                                        {"adapter_mb", 20.0}});
        }
        json["services"] = {{{"name", "llm"}, {"max_conns", 360}, {"engine", engine}},
                            {{"name", "app"}, {"max_conns", 100}}};
        json["limits"] = {{"max_header_bytes", 16384},
                          {"max_body_bytes", 1048576},
                          {"header_timeout_ms", 3000},
                          {"idle_timeout_ms", 15000}};
        for (const auto &[account, key] : m_keys) {
            json["tenants"].push_back({{"name", account},
                                       {"api_keys", {key}},
                                       {"unit", "tokens"},
                                       {"plain_tokens", 50},
                                       {"rate_per_s", accountRate},
                                       {"burst", accountRate}});
        }
        m_store.put("op", "config", json.dump());
    }

    void sendRequests(bool isMeasured)
    {
        for (int i = 0; i < requestsPerTick; ++i) {
            Gateway &gateway = *m_gateways[static_cast<std::size_t>(
                pick(0, static_cast<int>(m_gateways.size()) - 1))];
            sendRequest(gateway);
            m_sentMeasured += isMeasured ? 1 : 0;
        }
    }

    void sendRequest(Gateway &gateway)
    {
        const int kind = pick(0, 3);
        const bool isStream = kind < 2;
        const bool mayRepeat = kind == 1 || kind == 3;
        static constexpr const char *paths[] = {"/s/", "/r/", "/n/", "/i/"};
        const auto &[account, key] = m_keys[static_cast<std::size_t>(pick(0, accounts - 1))];
        const std::string id = "r" + std::to_string(++m_requests);
        const std::string body = "body of " + id;
        std::string text = std::string("POST ") + paths[kind]
            + "x HTTP/1.1\r\nHost: soak.example\r\n" + "Attempt-Id: " + id + "\r\nApi-Key: " + key
            + "\r\nDeadline-Ms: 2500\r\n" + "Content-Length: " + std::to_string(body.size())
            + "\r\n";
        double tokens = 50;
        if (isStream) {
            std::string model = name("model", std::min(pick(0, models - 1), pick(0, models - 1)));
            if (chance(3))
                model += "/" + name("a", pick(1, 3));
            text += "Model: " + model + "\r\nToken-Count: 700,100\r\nPrompt-Prefix: ab:500,"
                + std::to_string(m_requests) + ":200\r\n";
            tokens = 800;
        }
        m_checks.onSent(id, gateway.name, account, key, mayRepeat, tokens);
        const auto answer = std::make_shared<Answer>();
        ExchangeHooks hooks;
        hooks.onHead = [answer](int status, const boost::beast::http::fields &fields) {
            answer->status = status;
            answer->isSigned = !fields["Response-Stamp"].empty();
            return ExchangeHooks::Head::Take;
        };
        hooks.onBody = [answer](std::string_view data) { answer->body.append(data); };
        hooks.onEnd = [this, id, isStream, answer](ExchangeEnd end) {
            if (end != ExchangeEnd::Complete) {
                m_checks.onBroken(id);
                return;
            }
            if (answer->status == 503 || answer->status == 429)
                m_checks.onRefused(id, answer->status);
            else
                m_checks.onAnswered(id, answer->status, answer->body, isStream, answer->isSigned);
        };
        gateway.pool->acquire(gateway.callers.text())
            ->send(text + "\r\n" + body, false, std::move(hooks));
    }

    struct Answer
    {
        int status = 0;
        bool isSigned = false;
        std::string body;
    };

    void tick(Instant now)
    {
        m_store.tick();
        for (auto it = m_heals.begin(); it != m_heals.end();) {
            if (now < it->first) {
                ++it;
                continue;
            }
            const auto heal = std::move(it->second);
            it = m_heals.erase(it);
            heal();
        }
        for (const auto &gateway : m_gateways) {
            gateway->pool->closeStale(now);
            const auto ending = gateway->process->waitForEnd(milliseconds(0));
            if (!ending)
                continue;
            m_checks.onDisturbed(gateway->name);
            const bool isOwn = ending->signal != SIGKILL && !gateway->isStopping;
            if (isOwn && gateway->restartAt == Instant())
                m_checks.fail("EXIT: " + gateway->name + " ended by itself, signal "
                              + std::to_string(ending->signal) + ", status "
                              + std::to_string(ending->exitStatus) + lastLines(gateway->logFile));
            if (gateway->restartAt == Instant())
                gateway->restartAt = now + milliseconds(pick(200, 1200));
            if (now < gateway->restartAt)
                continue;
            gateway->restartAt = Instant();
            start(*gateway);
        }
    }

    void later(milliseconds time, std::function<void()> heal)
    {
        m_heals.emplace(loopNow() + time, std::move(heal));
    }

    void say(const std::string &what) { std::cout << "  " << what << std::endl; }

    void strike(Instant)
    {
        Gateway &gateway = *m_gateways[static_cast<std::size_t>(
            pick(0, static_cast<int>(m_gateways.size()) - 1))];
        Server &server
            = *m_servers[static_cast<std::size_t>(pick(0, static_cast<int>(m_servers.size()) - 1))];
        switch (pick(0, 11)) {
        case 0:
            freeze(gateway);
            return;
        case 1:
            say("kill " + gateway.name);
            gateway.process->signal(SIGKILL);
            return;
        case 2:
            stop(gateway);
            return;
        case 3:
            cutFromStore(gateway);
            return;
        case 4:
            say("store away");
            setStoreAway();
            return;
        case 5:
            say("store loses answers");
            m_store.setLosingAnswers(true);
            later(milliseconds(pick(300, 2500)), [this] { m_store.setLosingAnswers(false); });
            return;
        case 6:
            say("history dropped");
            m_store.dropHistory();
            return;
        case 7:
            crash(server);
            return;
        case 8:
            replace(server);
            return;
        case 9:
            cutFromServer(server);
            return;
        case 10:
            withdrawKey();
            return;
        default:
            say("orders unanswered at " + server.standIn->id());
            server.standIn->setLosingOrderAnswers(true);
            later(milliseconds(pick(300, 2500)),
                  [&server] { server.standIn->setLosingOrderAnswers(false); });
            return;
        }
    }

    void stop(Gateway &gateway)
    {
        say("stop " + gateway.name);
        gateway.isStopping = true;
        gateway.process->signal(SIGTERM);
    }

    void freeze(Gateway &gateway)
    {
        if (gateway.isFrozen || gateway.isStopping)
            return;
        say("freeze " + gateway.name);
        gateway.isFrozen = true;
        gateway.process->signal(SIGSTOP);
        later(milliseconds(pick(200, 5000)), [this, &gateway] {
            m_checks.onDisturbed(gateway.name);
            gateway.process->signal(SIGCONT);
            gateway.isFrozen = false;
        });
    }

    void cutFromStore(Gateway &gateway)
    {
        static constexpr LinkState states[]
            = {LinkState::Closed, LinkState::Silent, LinkState::Deaf};
        say("cut " + gateway.name + " from the store");
        gateway.toStore.setState(states[pick(0, 2)]);
        later(milliseconds(pick(300, 4000)), [this, &gateway] {
            m_checks.onDisturbed(gateway.name);
            gateway.toStore.setState(LinkState::Open);
        });
        m_checks.onDisturbed(gateway.name);
    }

    void setStoreAway()
    {
        m_store.setAway(true);
        m_checks.onDisturbedAll();
        later(milliseconds(pick(300, 4000)), [this] {
            m_store.setAway(false);
            m_checks.onDisturbedAll();
        });
    }

    void crash(Server &server)
    {
        if (!server.standIn->isUp())
            return;
        say("crash " + server.standIn->id());
        server.standIn->crash();
        later(milliseconds(pick(200, 2500)), [&server] { restart(server); });
    }

    static void restart(Server &server)
    {
        server.standIn->restart();
        server.link.setTarget(server.standIn->address());
    }

    void replace(Server &server)
    {
        if (!server.standIn->isUp() || server.standIn->isLeaving())
            return;
        say("replace " + server.standIn->id());
        server.standIn->beginLeaving();
        later(milliseconds(4000), [this, &server] {
            if (!server.standIn->isUp())
                return;
            server.standIn->leave();
            later(milliseconds(500), [&server] { restart(server); });
        });
    }

    void cutFromServer(Server &server)
    {
        static constexpr LinkState states[]
            = {LinkState::Closed, LinkState::Silent, LinkState::Deaf};
        say("cut " + server.standIn->id());
        server.link.setState(states[pick(0, 2)]);
        // Bytes that were held come through late, which the bounds in time don't cover.
        m_checks.onDisturbedAll();
        later(milliseconds(pick(300, 2500)), [this, &server] {
            m_checks.onDisturbedAll();
            server.link.setState(LinkState::Open);
        });
    }

    void withdrawKey()
    {
        auto &[account, key] = m_keys[static_cast<std::size_t>(pick(0, accounts - 1))];
        say("withdraw " + key);
        m_checks.onKeyWithdrawn(key);
        key = name("key", ++m_keyNumber + 100);
        writeConfiguration();
    }

    void healAll(Instant)
    {
        say("all calm");
        for (auto &[at, heal] : std::exchange(m_heals, {}))
            heal();
        // Heals may have set others.
        for (auto &[at, heal] : std::exchange(m_heals, {}))
            heal();
    }

    asio::io_context m_loop;
    const std::string m_program;
    std::mt19937_64 m_random;
    const milliseconds m_faultTime;
    const std::filesystem::path m_folder;
    PlatformStoreStandIn m_store;
    SoakChecks m_checks;
    std::vector<std::unique_ptr<Server>> m_servers;
    std::vector<std::unique_ptr<Gateway>> m_gateways;
    std::vector<std::pair<std::string, std::string>> m_keys; // account, its only key
    std::multimap<Instant, std::function<void()>> m_heals;
    std::int64_t m_configVersion = 0;
    int m_keyNumber = 0;
    std::int64_t m_requests = 0;
    int m_sentMeasured = 0;
};

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("randomized fault soak of the entry gateway");
    std::string programs;
    std::uint64_t seed = 0;
    int gateways = 3;
    int seconds = 12;
    app.add_option("--programs", programs, "folder with the programs")->required();
    app.add_option("--seed", seed, "0: a fresh one");
    app.add_option("--gateways", gateways, "entry gateways")->check(CLI::Range(1, 100));
    app.add_option("--seconds", seconds, "of faults")->check(CLI::Range(1, 3600));
    CLI11_PARSE(app, argc, argv);
    std::signal(SIGPIPE, SIG_IGN);
    if (seed == 0)
        seed = std::random_device()();
    std::cout << "seed " << seed << ", " << gateways << " gateways, " << seconds << " s of faults"
              << std::endl;
    try {
        Soak soak(programs, seed, gateways, std::chrono::seconds(seconds));
        const bool isKept = soak.run();
        std::cout << (isKept ? "kept" : "BROKEN") << ", seed " << seed << std::endl;
        return isKept ? 0 : 1;
    } catch (const std::exception &e) {
        std::cout << "the soak itself failed: " << e.what() << std::endl;
        return 2;
    }
}
