#include "Rig.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <cstdio>
#include <fstream>
#include <sstream>

namespace review {

using Json = nlohmann::json;

namespace {

std::mutex recordMutex;
std::FILE *recordFile = nullptr;
const std::int64_t startedAt = nowMs();

std::string base64(const std::string &text)
{
    static const char *digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < text.size(); i += 3) {
        std::uint32_t bits = 0;
        for (std::size_t k = 0; k < 3; ++k)
            bits = bits << 8
                | (i + k < text.size() ? static_cast<unsigned char>(text[i + k]) : 0U);
        for (std::size_t k = 0; k < 4; ++k)
            out += i + k <= text.size() ? digits[bits >> (18 - 6 * k) & 63] : '=';
    }
    return out;
}

std::string unbase64(const std::string &text)
{
    std::string out;
    std::uint32_t bits = 0;
    int n = 0;
    for (const char c : text) {
        int value = 0;
        if (c >= 'A' && c <= 'Z')
            value = c - 'A';
        else if (c >= 'a' && c <= 'z')
            value = c - 'a' + 26;
        else if (c >= '0' && c <= '9')
            value = c - '0' + 52;
        else if (c == '+')
            value = 62;
        else if (c == '/')
            value = 63;
        else
            break;
        bits = bits << 6 | static_cast<std::uint32_t>(value);
        if (++n % 4 != 1)
            out += static_cast<char>(bits >> ((3 - (n - 1) % 4) * 2) & 255);
    }
    return out;
}

std::string parameter(const std::string &target, const std::string &name)
{
    auto at = target.find("?" + name + "=");
    if (at == std::string::npos)
        at = target.find("&" + name + "=");
    if (at == std::string::npos)
        return {};
    const auto begin = at + name.size() + 2;
    return target.substr(begin, target.find('&', begin) - begin);
}

std::string response(int status, const std::string &fields, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " -\r\n" + fields
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

void acceptForever(int fd, std::function<void(int)> serve)
{
    std::thread([fd, serve = std::move(serve)] {
        while (true) {
            const int channel = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (channel < 0) {
                sleepMs(5);
                continue;
            }
            const int one = 1;
            setsockopt(channel, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
            std::thread([channel, serve] { serve(channel); }).detach();
        }
    }).detach();
}

constexpr std::int64_t idleMs = 60'000;

} // namespace

void Record::open(const std::string &path)
{
    recordFile = std::fopen(path.c_str(), "w");
}

void Record::line(const std::string &text)
{
    const std::lock_guard lock(recordMutex);
    if (!recordFile)
        return;
    std::fprintf(recordFile, "%7lld %s\n", static_cast<long long>(nowMs() - startedAt),
                 text.c_str());
    std::fflush(recordFile);
}

Store::Store()
{
    acceptForever(listenAt(m_port), [this](int fd) { serve(fd); });
}

std::int64_t Store::put(const std::string &table, const std::string &key, const std::string &value)
{
    const std::lock_guard lock(m_mutex);
    m_tables[table][key] = {value, ++m_version, false};
    m_changed.notify_all();
    return m_version;
}

void Store::remove(const std::string &table, const std::string &key)
{
    const std::lock_guard lock(m_mutex);
    m_tables[table][key] = {"", ++m_version, true};
    m_changed.notify_all();
}

void Store::serve(int fd)
{
    Channel channel(fd);
    while (auto request = channel.readHead(nowMs() + idleMs)) {
        if (!channel.readBody(*request, nowMs() + idleMs))
            return;
        answer(channel, *request);
    }
}

Json Store::rows(const std::string &table, std::int64_t after, bool withDeleted) const
{
    Json found = Json::array();
    const auto it = m_tables.find(table);
    if (it == m_tables.end())
        return found;
    for (const auto &[key, row] : it->second) {
        if (row.version <= after || (row.isDeleted && !withDeleted))
            continue;
        Json json{{"table", table}, {"part", ""}, {"key", key}, {"ver", row.version}};
        if (row.isDeleted)
            json["deleted"] = true;
        else
            json["value"] = base64(row.value);
        found.push_back(json);
    }
    if (withDeleted)
        std::sort(found.begin(), found.end(), [](const Json &a, const Json &b) {
            return a["ver"].get<std::int64_t>() < b["ver"].get<std::int64_t>();
        });
    return found;
}

void Store::answer(Channel &channel, const Message &request)
{
    sleepMs(4); // the platform's page states 4 ms an answer
    const std::string fields = "Content-Type: application/json\r\nKeep-Alive: timeout=30\r\n";
    const auto reply = [&](int status, const Json &json) {
        channel.send(response(status, fields, json.dump()));
    };
    const std::string &target = request.target;
    const std::string table = parameter(target, "table");
    std::unique_lock lock(m_mutex);
    const auto found = [&](const Json &list) {
        return Json{
            {"rows", list}, {"truncated", false}, {"ver", m_version}, {"now_ms", nowMs()}};
    };
    if (target.starts_with("/rows-get")) {
        Json list = rows(table, -1, false);
        const std::string from = parameter(target, "from");
        for (std::size_t i = list.size(); i-- > 0;) {
            if (list[i]["key"].get<std::string>() < from)
                list.erase(i);
        }
        const Json json = found(list);
        lock.unlock();
        reply(200, json);
        return;
    }
    if (target.starts_with("/rows-feed")) {
        const std::int64_t after = std::atoll(parameter(target, "after").c_str());
        const auto wait = std::chrono::milliseconds(std::atoi(parameter(target, "wait_ms").c_str()));
        Json list;
        m_changed.wait_for(lock, wait, [&] { return !(list = rows(table, after, true)).empty(); });
        const Json json = found(list);
        lock.unlock();
        reply(200, json);
        return;
    }
    if (!target.starts_with("/rows-tx")) {
        lock.unlock();
        reply(404, Json::object());
        return;
    }
    const Json json = Json::parse(request.body);
    for (const Json &condition : json["expected_rev"]) {
        const Row &row = m_tables[condition["table"]][condition["key"]];
        const std::int64_t version = row.isDeleted ? 0 : row.version;
        if (version == condition["ver"].get<std::int64_t>())
            continue;
        lock.unlock();
        reply(412, Json{{"rows", Json::array()}});
        return;
    }
    ++m_version;
    for (const Json &row : json["set_keys"])
        m_tables[row["table"]][row["key"]]
            = {unbase64(row["value"].get<std::string>()), m_version, false};
    for (const Json &row : json["remove"])
        m_tables[row["table"]][row["key"]] = {"", m_version, true};
    m_changed.notify_all();
    const Json done{{"ver", m_version}, {"now_ms", nowMs()}};
    lock.unlock();
    reply(200, done);
}

Engine::Engine(Store &store, const Settings &settings, Handler onRequest)
    : m_store(store), m_settings(settings), m_onRequest(std::move(onRequest)),
      m_loaded(settings.models.begin(), settings.models.end()),
      m_born(std::chrono::duration_cast<std::chrono::milliseconds>(
                 std::chrono::system_clock::now().time_since_epoch())
                 .count())
{
    acceptForever(listenAt(m_port, settings.receiveBuffer), [this](int fd) { serve(fd); });
    writeRow();
}

void Engine::writeRow(bool isLeaving)
{
    Json json{{"service", m_settings.service},
              {"address", "127.0.0.1:" + std::to_string(m_port)},
              {"zone", "a"},
              {"version", "v1"},
              {"slots", m_settings.slots},
              {"state", isLeaving ? "draining" : "ready"},
              {"cold_ms", 0},
              {"born", m_born},
              {"seq", 1}};
    if (m_settings.isModelEngine) {
        json["stage"] = "unified";
        json["models"] = Json::array();
        for (const std::string &model : m_loaded)
            json["models"].push_back(
                {{"name", model}, {"version", 1}, {"adapters", Json::array()}});
    }
    m_store.put("servers", m_settings.id, json.dump());
}

std::string Engine::fields(const Message &request)
{
    return "Attempt-Id: " + request.get("Attempt-Id") + "\r\nKeep-Alive: timeout=15\r\nServer-Load: "
        + std::to_string(running.load()) + ",0," + std::to_string(m_settings.slots) + "\r\n";
}

void Engine::serve(int fd)
{
    Channel channel(fd);
    while (auto request = channel.readHead(nowMs() + idleMs)) {
        if (!handle(channel, *request))
            return;
    }
}

bool Engine::handle(Channel &channel, Message &request)
{
    if (request.target == "/report") {
        const std::lock_guard lock(m_mutex);
        Json json{{"stage", "unified"},     {"busy", false},   {"seq", m_orders},
                  {"waiting", 0},           {"running", running.load()},
                  {"kv_used", 0},           {"kv_total", 234138},
                  {"handles", 0},           {"born", m_born}};
        json["models"] = Json::array();
        for (const std::string &model : m_loaded)
            json["models"].push_back(
                {{"name", model}, {"version", 1}, {"adapters", Json::array()}});
        return channel.send(response(
            200, "Content-Type: application/json\r\nKeep-Alive: timeout=15\r\n", json.dump()));
    }
    if (request.target == "/health")
        return channel.send(
            response(200, "Instance-Id: " + m_settings.id + "\r\n", ""));
    const std::string named = request.get("Target-Instance");
    if (!named.empty() && named != m_settings.id) {
        return channel.readBody(request, nowMs() + idleMs)
            && channel.send(response(421, "Instance-Id: " + m_settings.id + "\r\n", ""));
    }
    if (request.target == "/order")
        return order(channel, request);
    return m_onRequest(*this, channel, request);
}

bool Engine::order(Channel &channel, Message &request)
{
    if (!channel.readBody(request, nowMs() + idleMs))
        return false;
    const Json json = Json::parse(request.body);
    Record::line("order at " + m_settings.id + ": " + request.body);
    const std::lock_guard lock(m_mutex);
    if (json.contains("expected_rev") && json["expected_rev"].get<std::int64_t>() != m_orders)
        return channel.send(response(409, "", ""));
    ++m_orders;
    if (!json.contains("adapter")) {
        if (json["operation"] == "load")
            m_loaded.insert(json["model"].get<std::string>());
        else
            m_loaded.erase(json["model"].get<std::string>());
    }
    return channel.send(response(202, "", ""));
}

Gateway::Gateway(const std::string &program, const std::string &folder, const std::string &name,
                 const std::string &zone, int storePort, double memoryMb)
    : m_program(program), m_name(name), m_settingsFile(folder + "/" + name + ".ini"),
      m_logFile(folder + "/" + name + ".log"), m_callers(freePort()), m_readiness(freePort()),
      m_peers(freePort())
{
    std::ofstream(m_settingsFile)
        << "[entry]\ninstance = " << name << "\nzone = " << zone
        << "\nlisten_callers = 127.0.0.1:" << m_callers
        << "\nlisten_readiness = 127.0.0.1:" << m_readiness
        << "\nlisten_peers = 127.0.0.1:" << m_peers << "\nstore = 127.0.0.1:" << storePort
        << "\ndescriptors = 4100\nholder_pause_ms = 3000\nstop_grace_s = 8\nretry_share = 0.2\n"
           "retry_reserve = 54\nprocessor_share = 0.19\nmemory_mb = "
        << memoryMb << "\n";
}

Gateway::~Gateway()
{
    if (m_pid <= 0)
        return;
    kill(m_pid, SIGKILL);
    waitpid(m_pid, nullptr, 0);
}

void Gateway::start()
{
    const int log = open(m_logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    const std::string variable = "QUETZALYOKE_SETTINGS=" + m_settingsFile;
    // The program runs once its end of this pipe is closed; before, the memory is that of this one.
    int begun[2] = {-1, -1};
    if (pipe2(begun, O_CLOEXEC) != 0)
        return;
    m_pid = fork();
    if (m_pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL); // ends with this program, whatever happens to it
        dup2(log, 1);
        dup2(log, 2);
        char *const arguments[] = {const_cast<char *>(m_program.c_str()), nullptr};
        char path[] = "PATH=/usr/bin:/bin";
        char *const environment[] = {const_cast<char *>(variable.c_str()), path, nullptr};
        execve(m_program.c_str(), arguments, environment);
        _exit(127);
    }
    close(log);
    close(begun[1]);
    char none = 0;
    [[maybe_unused]] const ssize_t n = read(begun[0], &none, 1);
    close(begun[0]);
    Record::line(m_name + " starts");
}

void Gateway::signal(int number)
{
    if (m_pid > 0)
        kill(m_pid, number);
}

bool Gateway::hasEnded()
{
    if (m_pid <= 0)
        return true;
    if (waitpid(m_pid, nullptr, WNOHANG) != m_pid)
        return false;
    m_pid = -1;
    return true;
}

bool Gateway::isReady() const
{
    const int fd = connectTo(m_readiness);
    if (fd < 0)
        return false;
    Channel channel(fd);
    channel.send("GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n");
    const auto head = channel.readHead(nowMs() + 500);
    return head && head->status == 200;
}

bool Gateway::waitUntilReady(std::int64_t ms) const
{
    const std::int64_t until = nowMs() + ms;
    while (nowMs() < until) {
        if (isReady())
            return true;
        sleepMs(50);
    }
    return false;
}

double Gateway::residentMb() const
{
    std::ifstream file("/proc/" + std::to_string(m_pid) + "/statm");
    double size = 0;
    double resident = 0;
    file >> size >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1'048'576;
}

Json smallConfiguration(const std::vector<std::string> &models)
{
    const auto route = [](const char *name, const char *prefix, const char *kind, int timeout,
                          int objective, const char *service, int attempts) {
        return Json{{"name", name},
                    {"host", "site.example"},
                    {"prefix", prefix},
                    {"kind", kind},
                    {"timeout_ms", timeout},
                    {"target_latency_ms", objective},
                    {"priority", 1},
                    {"service", service},
                    {"max_attempts", attempts},
                    {"public", false},
                    {"sticky", false},
                    {"resumable", false},
                    {"target_gap_ms", 400}};
    };
    Json config{{"version", 1}};
    config["routes"] = {route("quote", "/quote/", "stream", 15'000, 500, "llm", 1),
                        route("order", "/order-place/", "non_idempotent", 1'000, 150, "app", 1),
                        route("stock", "/stock/", "idempotent", 1'000, 150, "app", 2)};
    Json engine{{"slots", 64},      {"kv_capacity", 234138}, {"mb", 220000.0},
                {"adapter_slots", 5}, {"loads_per_s", 1.1}, {"models", Json::array()}};
    for (const std::string &model : models)
        engine["models"].push_back({{"name", model},
                                    {"mb", 72700.0},
                                    {"load_s", 1.2},
                                    {"adapters", 0},
                                    {"adapter_mb", 66.0},
                                    {"warm_s", 0.4},
                                    {"disk_s", 0.52}});
    config["services"] = {
        {{"name", "llm"}, {"health_path", "/health"}, {"max_conns", 360}, {"engine", engine}},
        {{"name", "app"}, {"health_path", "/health"}, {"max_conns", 100}}};
    config["limits"] = {{"max_header_bytes", 16384},
                        {"max_body_bytes", 4194304},
                        {"header_timeout_ms", 3000},
                        {"idle_timeout_ms", 15000}};
    config["tenants"] = {{{"name", "t1"},
                          {"api_keys", {apiKey}},
                          {"priority", 1},
                          {"unit", "tokens"},
                          {"plain_tokens", 200},
                          {"rate_per_s", 0},
                          {"burst", 0}}};
    return config;
}

} // namespace review
