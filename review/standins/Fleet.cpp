#include "Fleet.h"

#include "Adapters/Base64.h"

#include <boost/asio/ip/udp.hpp>

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <iostream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

const Clock::time_point started = Clock::now();
std::ofstream recordFile;
std::string gatewayProgram;
std::filesystem::path temporaryFolder;

// Removes the temporary folder at the end of the test.
struct FolderRemover
{
    ~FolderRemover()
    {
        std::error_code ignored;
        if (!temporaryFolder.empty())
            std::filesystem::remove_all(temporaryFolder, ignored);
    }
} folderRemover;

constexpr int maxInheritedDescriptors = 4096;
constexpr int firstPort = 12'000;
constexpr int portRange = 19'000;
constexpr std::size_t maxConnections = 512;
constexpr milliseconds heartbeat{1200};
constexpr std::size_t endlessChunkBytes = 131'072;

AsyncHttpServer::Hooks
hooksFor(std::function<void(const HttpServerConnection::Pointer &, HttpRequest &&)> onRequest)
{
    return {std::move(onRequest),
            [] {
                quetzalyoke::HttpServerConnectionLimits limits;
                limits.idleTimeout = milliseconds(30'000);
                return limits;
            },
            [] { return false; }, [](int, const char *) {}};
}

std::string parameter(const std::string &target, const std::string &name)
{
    const auto at = target.find(name + "=");
    if (at == std::string::npos)
        return {};
    const auto begin = at + name.size() + 1;
    return target.substr(begin, target.find('&', begin) - begin);
}

} // namespace

asio::io_context &loop()
{
    static asio::io_context instance(1);
    return instance;
}

std::int64_t nowMs()
{
    return std::chrono::duration_cast<milliseconds>(Clock::now() - started).count();
}

void runFor(milliseconds time)
{
    loop().restart();
    loop().run_for(time);
}

bool runUntil(const std::function<bool()> &isDone, milliseconds limit)
{
    const auto end = Clock::now() + limit;
    while (!isDone()) {
        if (Clock::now() >= end)
            return false;
        runFor(milliseconds(10));
    }
    return true;
}

void after(milliseconds time, std::function<void()> action)
{
    const auto timer = std::make_shared<asio::steady_timer>(loop(), time);
    timer->async_wait([timer, action = std::move(action)](const auto &) { action(); });
}

void record(const std::string &line, bool isShown)
{
    recordFile << nowMs() << " ms  " << line << std::endl;
    if (isShown)
        std::cout << line << std::endl;
}

bool isTroubled()
{
    const char *text = std::getenv("TROUBLE");
    return !text || std::string(text) != "0";
}

const std::string &host()
{
    static const std::string text = "127." + std::to_string(1 + getpid() / 250 % 250) + "."
        + std::to_string(1 + getpid() % 250) + ".1";
    return text;
}

// Ports outside the range from which the system takes ports for outgoing connections, so that a
// gateway that starts again finds its ports free.
int freePort()
{
    static int last = firstPort;
    while (true) {
        last = last + 1 < firstPort + portRange ? last + 1 : firstPort;
        const asio::ip::address address = asio::ip::make_address(host());
        const auto port = static_cast<unsigned short>(last);
        quetzalyoke::Tcp::socket tcp(loop(), quetzalyoke::Tcp::v4());
        asio::ip::udp::socket udp(loop(), asio::ip::udp::v4());
        boost::system::error_code tcpEc;
        boost::system::error_code udpEc;
        tcp.bind({address, port}, tcpEc);
        udp.bind({address, port}, udpEc);
        if (!tcpEc && !udpEc)
            return last;
    }
}

void begin(int argc, char **argv)
{
    if (argc != 3 || access(argv[2], X_OK) != 0) {
        std::cerr << "usage: " << argv[0] << " CASE_FOLDER GATEWAY_PROGRAM\n";
        std::exit(2);
    }
    recordFile.open(std::string(argv[1]) + "/record.txt");
    gatewayProgram = argv[2];
    std::string folder = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (!mkdtemp(folder.data()))
        std::exit(2);
    temporaryFolder = folder;
    std::signal(SIGPIPE, SIG_IGN);
    record(std::string("disruption: ") + (isTroubled() ? "yes" : "no"), true);
}

// -------------------------------------------------------------------------------------- store

Store::Store()
{
    after(milliseconds(20), [this] { expireWaiting(); });
}

int Store::open(const std::string &caller)
{
    m_servers.push_back(std::make_unique<AsyncHttpServer>(
        loop(), maxConnections,
        hooksFor([this, caller](const HttpServerConnection::Pointer &connection,
                                HttpRequest &&request) { handle(caller, connection, request); })));
    m_servers.back()->listen({"127.0.0.1", 0});
    return m_servers.back()->port();
}

std::int64_t Store::put(const std::string &table, const std::string &key, const std::string &value)
{
    m_tables[table][key] = {value, ++m_version, false};
    completeWaiting();
    return m_version;
}

void Store::remove(const std::string &table, const std::string &key)
{
    m_tables[table][key] = {"", ++m_version, true};
    completeWaiting();
}

std::int64_t Store::feedAskedAt(const std::string &caller, const std::string &table) const
{
    const auto it = m_feedAskedAt.find({caller, table});
    return it == m_feedAskedAt.end() ? -1 : it->second;
}

void Store::handle(const std::string &caller, const HttpServerConnection::Pointer &connection,
                   const HttpRequest &request)
{
    const std::string table = parameter(request.target, "table");
    if (request.target.starts_with("/rows-get")) {
        Json rows = rowsOf(table, -1, false);
        const std::string from = parameter(request.target, "from");
        Json wanted = Json::array();
        for (Json &row : rows) {
            const std::string key = row["key"];
            if (key < from)
                continue;
            if (m_onRow) {
                std::string value = quetzalyoke::decodeBase64(row["value"]);
                m_onRow(caller, table, key, value);
                row["value"] = quetzalyoke::encodeBase64(value);
            }
            wanted.push_back(row);
        }
        std::sort(wanted.begin(), wanted.end(), [](const Json &a, const Json &b) {
            return a["key"].get<std::string>() < b["key"].get<std::string>();
        });
        sendRows(connection, wanted);
    } else if (request.target.starts_with("/rows-feed")) {
        m_feedAskedAt[{caller, table}] = nowMs();
        const std::int64_t afterVersion = std::atoll(parameter(request.target, "after").c_str());
        const Json rows = rowsOf(table, afterVersion, true);
        if (!rows.empty()) {
            sendRows(connection, rows);
            return;
        }
        const std::int64_t wait = std::atoll(parameter(request.target, "wait_ms").c_str());
        m_waiting.push_back({connection, table, afterVersion, nowMs() + wait});
    } else if (request.target.starts_with("/rows-tx")) {
        transact(connection, request.body);
    } else {
        connection->sendResponse(404, "", "");
    }
}

void Store::transact(const HttpServerConnection::Pointer &connection, const std::string &body)
{
    const Json json = Json::parse(body);
    for (const Json &condition : json["expected_rev"]) {
        const auto &rows = m_tables[condition["table"]];
        const auto row = rows.find(condition["key"]);
        const std::int64_t version
            = row == rows.end() || row->second.isDeleted ? 0 : row->second.version;
        if (version == condition["ver"].get<std::int64_t>())
            continue;
        connection->sendResponse(412, "", R"({"rows":[],"ver":)" + std::to_string(m_version) + "}");
        return;
    }
    ++m_version;
    for (const Json &row : json["set_keys"])
        m_tables[row["table"]][row["key"]]
            = {quetzalyoke::decodeBase64(row["value"]), m_version, false};
    for (const Json &row : json["remove"])
        m_tables[row["table"]][row["key"]] = {"", m_version, true};
    connection->sendResponse(200, "Keep-Alive: timeout=30\r\n",
                             Json{{"ver", m_version}, {"now_ms", nowMs()}}.dump());
    completeWaiting();
}

Json Store::rowsOf(const std::string &table, std::int64_t afterVersion, bool withDeleted) const
{
    Json rows = Json::array();
    const auto it = m_tables.find(table);
    if (it == m_tables.end())
        return rows;
    for (const auto &[key, row] : it->second) {
        if (row.version <= afterVersion || (row.isDeleted && !withDeleted))
            continue;
        Json json{{"table", table}, {"part", ""}, {"key", key}, {"ver", row.version}};
        if (row.isDeleted)
            json["deleted"] = true;
        else
            json["value"] = quetzalyoke::encodeBase64(row.value);
        rows.push_back(json);
    }
    std::sort(rows.begin(), rows.end(), [](const Json &a, const Json &b) {
        return a["ver"].get<std::int64_t>() < b["ver"].get<std::int64_t>();
    });
    return rows;
}

void Store::sendRows(const HttpServerConnection::Pointer &connection, const Json &rows) const
{
    const Json json{{"rows", rows}, {"truncated", false}, {"ver", m_version}, {"now_ms", nowMs()}};
    connection->sendResponse(200, "Keep-Alive: timeout=30\r\n", json.dump());
}

void Store::completeWaiting()
{
    std::vector<Waiting> ready;
    std::erase_if(m_waiting, [&](const Waiting &it) {
        if (rowsOf(it.table, it.after, true).empty())
            return false;
        ready.push_back(it);
        return true;
    });
    for (const Waiting &it : ready)
        sendRows(it.connection, rowsOf(it.table, it.after, true));
}

void Store::expireWaiting()
{
    std::vector<Waiting> ended;
    std::erase_if(m_waiting, [&](const Waiting &it) {
        if (nowMs() < it.until)
            return false;
        ended.push_back(it);
        return true;
    });
    for (const Waiting &it : ended)
        sendRows(it.connection, Json::array());
    after(milliseconds(20), [this] { expireWaiting(); });
}

// ----------------------------------------------------------------------------- plain servers

PlainServer::PlainServer(Store &store, std::string id, std::string service)
    : m_store(store), m_id(std::move(id)), m_service(std::move(service)),
      m_born(std::chrono::duration_cast<milliseconds>(
                 std::chrono::system_clock::now().time_since_epoch())
                 .count())
{
    m_server = std::make_unique<AsyncHttpServer>(
        loop(), maxConnections,
        hooksFor([this](const HttpServerConnection::Pointer &connection, HttpRequest &&request) {
            handle(connection, request);
        }));
    m_server->listen({"127.0.0.1", 0});
    beat();
}

std::int64_t PlainServer::drain()
{
    m_isLeaving = true;
    writeEntry();
    return nowMs();
}

std::int64_t PlainServer::leaveUnannounced()
{
    m_isListed = false;
    m_store.remove("servers", m_id);
    return nowMs();
}

void PlainServer::exit()
{
    m_server->stopListening();
    m_server->closeIdleConnections();
    for (const auto &it : std::exchange(m_connections, {})) {
        if (const auto connection = it.lock())
            connection->abort();
    }
}

void PlainServer::beat()
{
    if (!m_isListed)
        return;
    writeEntry();
    after(heartbeat, [this] { beat(); });
}

void PlainServer::writeEntry()
{
    const Json json{
        {"service", m_service}, {"address", "127.0.0.1:" + std::to_string(m_server->port())},
        {"zone", "tacoma"},     {"version", "v1"},
        {"slots", 6},           {"state", m_isLeaving ? "draining" : "ready"},
        {"cold_ms", 0},         {"seq", ++m_sequence},
        {"born", m_born}};
    m_store.put("servers", m_id, json.dump());
}

void PlainServer::handle(const HttpServerConnection::Pointer &connection,
                         const HttpRequest &request)
{
    const std::string target(request.fields["Target-Instance"]);
    const std::string attempt(request.fields["Attempt-Id"]);
    if (!target.empty() && target != m_id) {
        connection->sendResponse(
            421, "Attempt-Id: " + attempt + "\r\nInstance-Id: " + m_id + "\r\n", "");
        return;
    }
    record("run       " + attempt + " at " + m_id + " for tenant "
           + std::string(request.fields["Tenant"]));
    ++m_running;
    std::erase_if(m_connections, [](const auto &it) { return it.expired(); });
    m_connections.push_back(connection);
    if (m_onRun)
        m_onRun(m_id, attempt);
    after(runTime, [this, connection, attempt] { answer(connection, attempt); });
}

void PlainServer::answer(const HttpServerConnection::Pointer &connection,
                         const std::string &attempt)
{
    --m_running;
    const std::string fields = "Attempt-Id: " + attempt + "\r\nResponse-Stamp: " + m_id + "."
        + attempt + "\r\nKeep-Alive: timeout=5\r\nServer-Load: " + std::to_string(m_running)
        + ",0,6\r\n";
    if (m_endlessInterval == 0 || ++m_answers % m_endlessInterval != 0) {
        connection->sendResponse(200, fields, "done " + attempt);
        return;
    }
    record("endless   " + attempt + " from " + m_id);
    const auto isClosed = std::make_shared<bool>(false);
    connection->setDisconnectHook([isClosed] { *isClosed = true; });
    connection->beginChunkedResponse(200, fields);
    sendEndlessly(connection, isClosed);
}

void PlainServer::sendEndlessly(const HttpServerConnection::Pointer &connection,
                                std::shared_ptr<bool> isClosed)
{
    if (*isClosed)
        return;
    if (connection->unsentBytes() < endlessChunkBytes)
        connection->writeChunk(std::string(endlessChunkBytes, '#'));
    after(milliseconds(1), [this, connection, isClosed] { sendEndlessly(connection, isClosed); });
}

// ---------------------------------------------------------------------------------- gateways

Gateway::Gateway(Store &store, const std::string &name, const std::string &zone)
    : m_name(name), m_callers{host(), freePort()}, m_readiness{host(), freePort()}, m_peers{
                                                                                        host(),
                                                                                        freePort()}
{
    m_storeLink.setTarget({"127.0.0.1", store.open(name)});
    m_settings = (temporaryFolder / (name + ".ini")).string();
    m_log = (temporaryFolder / (name + ".log")).string();
    // As deploy/entry.ini, with the values of cedarline.
    std::ofstream(m_settings) << "[entry]\ninstance = " << name << "\nzone = " << zone
                              << "\nlisten_callers = " << m_callers.text()
                              << "\nlisten_readiness = " << m_readiness.text()
                              << "\nlisten_peers = " << m_peers.text()
                              << "\nstore = " << m_storeLink.address().text()
                              << "\ndescriptors = 4100\nholder_pause_ms = 3000\nstop_grace_s = 8\n"
                                 "retry_share = 0.2\nretry_reserve = 54\nprocessor_share = 0.19\n";
}

Gateway::~Gateway()
{
    int status = 0;
    if (m_pid > 0 && !hasEnded(status)) {
        kill(m_pid, SIGKILL);
        waitpid(m_pid, nullptr, 0);
    }
    // LOGS names a folder that keeps the gateways' logs.
    if (const char *folder = std::getenv("LOGS")) {
        std::error_code ignored;
        std::filesystem::copy(m_log, folder, std::filesystem::copy_options::overwrite_existing,
                              ignored);
    }
}

void Gateway::start()
{
    const int log = ::open(m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    m_pid = fork();
    if (m_pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        dup2(log, STDOUT_FILENO);
        dup2(log, STDERR_FILENO);
        // Otherwise the gateway would keep the stand-ins' sockets open.
        for (int fd = STDERR_FILENO + 1; fd < maxInheritedDescriptors; ++fd)
            close(fd);
        setenv("QUETZALYOKE_SETTINGS", m_settings.c_str(), 1);
        execl(gatewayProgram.c_str(), gatewayProgram.c_str(), nullptr);
        _exit(127);
    }
    close(log);
    record("start     " + m_name);
}

void Gateway::signal(int number)
{
    record("signal    " + std::to_string(number) + " to " + m_name);
    kill(m_pid, number);
}

bool Gateway::hasEnded(int &status)
{
    if (m_pid > 0 && waitpid(m_pid, &status, WNOHANG) == m_pid) {
        m_pid = -1;
        return true;
    }
    return m_pid < 0;
}

bool Gateway::isReady()
{
    HttpClient client(loop(), m_readiness, {});
    int status = -1;
    client.call("GET /readiness HTTP/1.1\r\nHost: ready\r\n\r\n", milliseconds(500),
                [&status](const HttpCallResult &result) { status = result.status; });
    runUntil([&status] { return status >= 0; }, milliseconds(600));
    return status == 200;
}

} // namespace review
