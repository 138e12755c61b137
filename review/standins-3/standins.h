// Stand-ins for the cases of the third review: the platform's store, backend servers, clients, and
// the start of the gateway with the command and the settings template of the deploy file.
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <set>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace standins {

using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;

inline void sleepMs(long ms)
{
    std::this_thread::sleep_for(Ms(ms));
}

inline Clock::time_point &startTime()
{
    static Clock::time_point start = Clock::now();
    return start;
}

inline long nowMs()
{
    return static_cast<long>(std::chrono::duration_cast<Ms>(Clock::now() - startTime()).count());
}

/// Writes what was sent, answered and run to record.txt, with the time in milliseconds.
class Record
{
public:
    explicit Record(const std::string &path) : m_file(fopen(path.c_str(), "w")) { }
    void line(const char *format, ...) __attribute__((format(printf, 2, 3)))
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        va_list arguments;
        va_start(arguments, format);
        fprintf(m_file, "%7ld ms  ", nowMs());
        vfprintf(m_file, format, arguments);
        fprintf(m_file, "\n");
        va_end(arguments);
        fflush(m_file);
    }

private:
    std::mutex m_mutex;
    FILE *m_file;
};

inline int listenOnLoopback(int &port)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    if (bind(fd, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0
        || listen(fd, 1024) != 0)
        return -1;
    socklen_t size = sizeof address;
    getsockname(fd, reinterpret_cast<sockaddr *>(&address), &size);
    port = ntohs(address.sin_port);
    return fd;
}

/// Returns a port that was free a moment ago.
inline int freePort()
{
    int port = 0;
    const int fd = listenOnLoopback(port);
    close(fd);
    return port;
}

inline int connectTo(int port, int receiveBuffer = 0, int segment = 0)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (receiveBuffer > 0)
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof receiveBuffer);
    if (segment > 0)
        setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof segment);
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    if (connect(fd, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

inline bool sendAll(int fd, const std::string &text)
{
    std::size_t sent = 0;
    while (sent < text.size()) {
        const ssize_t n = send(fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        sent += static_cast<std::size_t>(n);
    }
    return true;
}

/// Reads at most \a most bytes. Returns the number, 0 at the end, -1 after an error or time-out.
inline ssize_t readSome(int fd, char *buffer, std::size_t most, long timeoutMs)
{
    pollfd entry{fd, POLLIN, 0};
    const int ready = poll(&entry, 1, static_cast<int>(timeoutMs));
    if (ready <= 0)
        return -1;
    return recv(fd, buffer, most, 0);
}

/// A request or a response.
struct Message
{
    std::string startLine;
    std::map<std::string, std::string> headers; // names in lower case
    std::string body;
    bool isComplete = false;
    bool isTimedOut = false;

    std::string header(const std::string &name) const
    {
        const auto it = headers.find(name);
        return it == headers.end() ? std::string() : it->second;
    }
    std::string method() const { return startLine.substr(0, startLine.find(' ')); }
    std::string target() const
    {
        const auto begin = startLine.find(' ') + 1;
        return startLine.substr(begin, startLine.find(' ', begin) - begin);
    }
    int status() const { return startLine.size() > 12 ? std::atoi(startLine.c_str() + 9) : 0; }
};

/// Reads messages from a socket; keeps what follows one for the next.
class Reader
{
public:
    explicit Reader(int fd) : m_fd(fd) { }

    bool fill(long timeoutMs)
    {
        char buffer[65536];
        const ssize_t n = readSome(m_fd, buffer, sizeof buffer, timeoutMs);
        m_isTimedOut = n < 0;
        if (n <= 0)
            return false;
        m_data.append(buffer, static_cast<std::size_t>(n));
        return true;
    }

    Message read(long timeoutMs, bool isResponse = false)
    {
        Message message;
        std::size_t end = 0;
        const auto until = Clock::now() + Ms(timeoutMs);
        const auto left = [&] {
            return std::max<long>(
                0, static_cast<long>(std::chrono::duration_cast<Ms>(until - Clock::now()).count()));
        };
        while (true) {
            while ((end = m_data.find("\r\n\r\n")) == std::string::npos) {
                if (!fill(left())) {
                    message.isTimedOut = m_isTimedOut;
                    return message;
                }
            }
            if (isResponse && m_data.compare(0, 10, "HTTP/1.1 1") == 0) {
                m_data.erase(0, end + 4);
                continue;
            }
            break;
        }
        std::istringstream head(m_data.substr(0, end));
        std::string line;
        std::getline(head, line);
        message.startLine = line.substr(0, line.find('\r'));
        while (std::getline(head, line)) {
            const auto colon = line.find(':');
            if (colon == std::string::npos)
                continue;
            std::string name = line.substr(0, colon);
            for (char &c : name)
                c = static_cast<char>(std::tolower(c));
            std::string value = line.substr(colon + 1);
            while (!value.empty() && (value.back() == '\r' || value.back() == ' '))
                value.pop_back();
            while (!value.empty() && value.front() == ' ')
                value.erase(0, 1);
            message.headers[name] = value;
        }
        m_data.erase(0, end + 4);
        if (message.header("transfer-encoding") == "chunked") {
            while (true) {
                std::size_t eol = 0;
                while ((eol = m_data.find("\r\n")) == std::string::npos) {
                    if (!fill(left()))
                        return message;
                }
                const std::size_t size = std::strtoul(m_data.c_str(), nullptr, 16);
                while (m_data.size() < eol + 2 + size + 2) {
                    if (!fill(left()))
                        return message;
                }
                message.body += m_data.substr(eol + 2, size);
                m_data.erase(0, eol + 2 + size + 2);
                if (size == 0)
                    break;
            }
            message.isComplete = true;
            return message;
        }
        const std::size_t length
            = std::strtoul(message.header("content-length").c_str(), nullptr, 10);
        while (m_data.size() < length) {
            if (!fill(left())) {
                message.isTimedOut = m_isTimedOut;
                message.body = m_data;
                return message;
            }
        }
        message.body = m_data.substr(0, length);
        m_data.erase(0, length);
        message.isComplete = true;
        return message;
    }

private:
    int m_fd;
    std::string m_data;
    bool m_isTimedOut = false;
};

/// Accepts connections and serves each in a thread of its own.
class Server
{
public:
    using Handler = std::function<void(int fd)>;
    Server(Handler handler, int port = 0) : m_handler(std::move(handler)), m_port(port)
    {
        listen();
    }
    int port() const { return m_port; }
    std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }
    void listen()
    {
        m_fd = listenOnLoopback(m_port);
        if (m_fd < 0) {
            fprintf(stderr, "can't listen\n");
            _exit(2);
        }
        std::thread([this, fd = m_fd] {
            while (true) {
                const int connection = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
                if (connection < 0)
                    return;
                const int on = 1;
                setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
                {
                    const std::lock_guard<std::mutex> lock(m_mutex);
                    m_connections.insert(connection);
                }
                std::thread([this, connection] {
                    m_handler(connection);
                    const std::lock_guard<std::mutex> lock(m_mutex);
                    m_connections.erase(connection);
                    close(connection);
                }).detach();
            }
        }).detach();
    }
    /// Resets all connections and refuses new ones, as if the process had been killed.
    void crash()
    {
        shutdown(m_fd, SHUT_RDWR);
        close(m_fd);
        const std::lock_guard<std::mutex> lock(m_mutex);
        const linger reset{1, 0};
        for (const int connection : m_connections) {
            setsockopt(connection, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
            shutdown(connection, SHUT_RDWR);
        }
    }

private:
    Handler m_handler;
    int m_port;
    int m_fd = -1;
    std::mutex m_mutex;
    std::set<int> m_connections;
};

inline std::string response(int status, const std::string &fields, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string encodeBase64(const std::string &in)
{
    static const char *digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < in.size(); i += 3) {
        unsigned n = 0;
        for (std::size_t k = 0; k < 3; ++k)
            n = n << 8 | (i + k < in.size() ? static_cast<unsigned char>(in[i + k]) : 0U);
        for (std::size_t k = 0; k < 4; ++k)
            out += i + k > in.size() ? '=' : digits[n >> (18 - 6 * k) & 63];
    }
    return out;
}

/// The platform's metadata store: tables of rows with one empty part, transactions and feeds.
class Store
{
public:
    Store() : m_server([this](int fd) { serve(fd); }) { }
    std::string address() const { return m_server.address(); }

    void put(const std::string &table, const std::string &key, const std::string &value)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_tables[table][key] = {encodeBase64(value), ++m_version, false};
        m_changed.notify_all();
    }
    void remove(const std::string &table, const std::string &key)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_tables[table][key] = {"", ++m_version, true};
        m_changed.notify_all();
    }
    /// Called with each response before it is sent; may delay or drop it.
    std::function<bool(const Message &request)> beforeResponse;

private:
    struct Row
    {
        std::string value; // base64
        long version = 0;
        bool isDeleted = false;
    };

    static std::string parameter(const std::string &target, const std::string &name)
    {
        auto at = target.find("?" + name + "=");
        if (at == std::string::npos)
            at = target.find("&" + name + "=");
        if (at == std::string::npos)
            return {};
        const auto begin = at + name.size() + 2;
        const std::string raw = target.substr(begin, target.find('&', begin) - begin);
        std::string out;
        for (std::size_t i = 0; i < raw.size(); ++i) {
            if (raw[i] == '%' && i + 2 < raw.size()) {
                out += static_cast<char>(std::strtol(raw.substr(i + 1, 2).c_str(), nullptr, 16));
                i += 2;
            } else {
                out += raw[i];
            }
        }
        return out;
    }

    std::string rows(const std::string &table, long after, const std::string &from, long limit,
                     bool withDeleted) const
    {
        std::vector<std::pair<long, std::string>> found;
        const auto it = m_tables.find(table);
        if (it != m_tables.end()) {
            for (const auto &[key, row] : it->second) {
                if (row.version <= after || (row.isDeleted && !withDeleted) || key < from)
                    continue;
                std::string json = "{\"table\":\"" + table + "\",\"part\":\"\",\"key\":\"" + key
                    + "\",\"ver\":" + std::to_string(row.version);
                json += row.isDeleted ? ",\"deleted\":true}" : ",\"value\":\"" + row.value + "\"}";
                found.emplace_back(withDeleted ? row.version : 0, json);
                if (limit > 0 && static_cast<long>(found.size()) >= limit)
                    break;
            }
        }
        std::stable_sort(found.begin(), found.end(),
                         [](const auto &a, const auto &b) { return a.first < b.first; });
        std::string out = "{\"rows\":[";
        for (std::size_t i = 0; i < found.size(); ++i)
            out += (i == 0 ? "" : ",") + found[i].second;
        return out + "],\"truncated\":false,\"ver\":" + std::to_string(m_version)
            + ",\"now_ms\":" + std::to_string(nowMs()) + "}";
    }

    // Reads the string or number after "name": in the flat objects that the gateway sends.
    static std::string field(const std::string &object, const std::string &name)
    {
        auto at = object.find("\"" + name + "\":");
        if (at == std::string::npos)
            return {};
        at += name.size() + 3;
        if (object[at] == '"')
            return object.substr(at + 1, object.find('"', at + 1) - at - 1);
        return object.substr(at, object.find_first_of(",}", at) - at);
    }
    static std::vector<std::string> objects(const std::string &json, const std::string &name)
    {
        std::vector<std::string> found;
        auto at = json.find("\"" + name + "\":[");
        if (at == std::string::npos)
            return found;
        const auto end = json.find(']', at);
        while ((at = json.find('{', at)) != std::string::npos && at < end) {
            const auto close = json.find('}', at);
            found.push_back(json.substr(at, close - at + 1));
            at = close;
        }
        return found;
    }

    void serve(int fd)
    {
        Reader reader(fd);
        while (true) {
            const Message request = reader.read(60'000);
            if (!request.isComplete)
                return;
            int status = 200;
            const std::string body = handle(request, status);
            if (beforeResponse && !beforeResponse(request))
                return;
            if (!sendAll(fd, response(status, "Keep-Alive: timeout=30\r\n", body)))
                return;
        }
    }

    std::string handle(const Message &request, int &status)
    {
        std::unique_lock<std::mutex> lock(m_mutex);
        const std::string target = request.target();
        const std::string table = parameter(target, "table");
        if (target.compare(0, 9, "/rows-get") == 0)
            return rows(table, -1, parameter(target, "from"),
                        std::atol(parameter(target, "limit").c_str()), false);
        if (target.compare(0, 10, "/rows-feed") == 0) {
            const long after = std::atol(parameter(target, "after").c_str());
            const auto until = Clock::now() + Ms(std::atol(parameter(target, "wait_ms").c_str()));
            const auto hasChanges = [&] {
                for (const auto &[key, row] : m_tables[table]) {
                    if (row.version > after)
                        return true;
                }
                return false;
            };
            m_changed.wait_until(lock, until, hasChanges);
            return rows(table, after, "", 0, true);
        }
        if (target.compare(0, 8, "/rows-tx") != 0) {
            status = 404;
            return "{}";
        }
        for (const std::string &condition : objects(request.body, "expected_rev")) {
            auto &rowsOfTable = m_tables[field(condition, "table")];
            const auto it = rowsOfTable.find(field(condition, "key"));
            const long version
                = it == rowsOfTable.end() || it->second.isDeleted ? 0 : it->second.version;
            if (version != std::atol(field(condition, "ver").c_str())) {
                status = 412;
                return "{\"rows\":[]}";
            }
        }
        ++m_version;
        for (const std::string &row : objects(request.body, "set_keys"))
            m_tables[field(row, "table")][field(row, "key")]
                = {field(row, "value"), m_version, false};
        for (const std::string &row : objects(request.body, "remove"))
            m_tables[field(row, "table")][field(row, "key")] = {"", m_version, true};
        m_changed.notify_all();
        return "{\"ver\":" + std::to_string(m_version) + ",\"now_ms\":" + std::to_string(nowMs())
            + "}";
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::map<std::string, Row>> m_tables;
    long m_version = 0;
    Server m_server;
};

/// One gateway, started by the command of deploy/system.toml with the settings of
/// deploy/entry.ini, whose placeholders are filled in as for a machine of wcesu-rounds.
class Gateway
{
public:
    Gateway(const std::string &repository, const std::string &folder, const std::string &name,
            const std::string &zone, const std::string &storeAddress)
        : m_repository(repository), m_name(name)
    {
        callers = freePort();
        readiness = freePort();
        peers = freePort();
        const std::map<std::string, std::string> values{
            {"{{node}}", name},
            {"{{zone}}", zone},
            {"{{listen.front}}", "127.0.0.1:" + std::to_string(callers)},
            {"{{listen.ready}}", "127.0.0.1:" + std::to_string(readiness)},
            {"{{ip}}", "127.0.0.1"},
            {"{{internal_ports.0}}", std::to_string(peers)},
            {"{{platform.address}}", storeAddress},
            {"{{limits.max_fds}}", "4100"},
            {"{{bounds.lease_ms}}", "3000"},
            {"{{bounds.grace_s}}", "8"},
            {"{{bounds.retry_budget}}", "0.2"},
            {"{{bounds.budget_slack}}", "54"},
            {"{{limits.cpu_share}}", "0.19"},
            {"{{limits.memory_mb}}", "260"},
        };
        std::ifstream in(repository + "/deploy/entry.ini");
        std::ostringstream text;
        text << in.rdbuf();
        std::string settings = text.str();
        for (const auto &[placeholder, value] : values) {
            for (auto at = settings.find(placeholder); at != std::string::npos;
                 at = settings.find(placeholder))
                settings.replace(at, placeholder.size(), value);
        }
        m_settings = folder + "/" + name + ".conf";
        std::ofstream(m_settings) << settings;
        m_log = folder + "/" + name + ".log";
    }
    ~Gateway() { stop(SIGKILL); }

    void start()
    {
        m_startedAt = nowMs();
        m_pid = fork();
        if (m_pid == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL); // also if this program is killed
            const int out = open(m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(out, 1);
            dup2(out, 2);
            if (chdir(m_repository.c_str()) != 0)
                _exit(2);
            const std::string variable = "QUETZALYOKE_SETTINGS=" + m_settings;
            const char *program = "target/bin/quetzalyoke-entry";
            char *arguments[] = {const_cast<char *>(program), nullptr};
            char *environment[] = {const_cast<char *>(variable.c_str()), nullptr};
            execve(program, arguments, environment);
            _exit(2);
        }
    }
    void signal(int number) const
    {
        if (m_pid > 0)
            kill(m_pid, number);
    }
    /// Lets the process run for \a share of each tenth of a second, at full speed until that is
    /// used up and then not at all, as DEPLOY.md says of cpu_share.
    void limitProcessor(double share)
    {
        m_limiter = std::thread([this, share, pid = m_pid] {
            clockid_t clock{};
            if (clock_getcpuclockid(pid, &clock) != 0)
                return;
            const auto usedNs = [clock] {
                timespec used{};
                clock_gettime(clock, &used);
                return used.tv_sec * 1'000'000'000L + used.tv_nsec;
            };
            auto periodEnd = Clock::now();
            while (!m_isLimiterStopped) {
                periodEnd += Ms(100);
                const long allowed = usedNs() + static_cast<long>(share * 100'000'000);
                bool isStopped = false;
                while (Clock::now() < periodEnd && !m_isLimiterStopped) {
                    if (!isStopped && usedNs() >= allowed) {
                        kill(pid, SIGSTOP);
                        isStopped = true;
                    }
                    std::this_thread::sleep_for(std::chrono::microseconds(isStopped ? 500 : 1000));
                }
                if (isStopped)
                    kill(pid, SIGCONT);
            }
        });
    }
    /// Sends \a number and waits for the end of the process.
    void stop(int number)
    {
        m_isLimiterStopped = true;
        if (m_limiter.joinable())
            m_limiter.join();
        if (m_pid <= 0)
            return;
        kill(m_pid, number);
        kill(m_pid, SIGCONT);
        int status = 0;
        waitpid(m_pid, &status, 0);
        m_pid = -1;
    }
    /// Returns whether the process has a handler for signal \a number.
    bool catches(int number) const
    {
        std::ifstream status("/proc/" + std::to_string(m_pid) + "/status");
        for (std::string line; std::getline(status, line);) {
            if (line.compare(0, 7, "SigCgt:") == 0)
                return (std::strtoull(line.c_str() + 7, nullptr, 16) >> (number - 1) & 1) != 0;
        }
        return false;
    }
    /// Returns the time since start().
    long ageMs() const { return nowMs() - m_startedAt; }
    /// Returns whether the process has ended by itself, and how.
    bool hasEnded(int &status)
    {
        if (m_pid <= 0 || waitpid(m_pid, &status, WNOHANG) != m_pid)
            return false;
        m_pid = -1;
        return true;
    }
    bool isReady() const
    {
        const int fd = connectTo(readiness);
        if (fd < 0)
            return false;
        sendAll(fd, "GET /readiness HTTP/1.1\r\nHost: platform\r\n\r\n");
        const Message answer = Reader(fd).read(1000, true);
        close(fd);
        return answer.status() == 200;
    }
    bool awaitReady(long timeoutMs) const
    {
        const long until = nowMs() + timeoutMs;
        while (!isReady()) {
            if (nowMs() > until)
                return false;
            sleepMs(50);
        }
        return true;
    }

    int callers = 0;
    int readiness = 0;
    int peers = 0;
    const std::string &name() const { return m_name; }

private:
    std::string m_repository;
    std::string m_name;
    std::string m_settings;
    std::string m_log;
    pid_t m_pid = -1;
    long m_startedAt = 0;
    std::thread m_limiter;
    std::atomic<bool> m_isLimiterStopped{false};
};

/// A folder for settings and logs; removed by end().
inline std::string &temporaryFolder()
{
    static std::string folder = [] {
        std::string path = std::filesystem::temp_directory_path() / "review-3-XXXXXX";
        return std::string(mkdtemp(path.data()));
    }();
    return folder;
}

/// Ends this program at once, whatever its threads do. The gateways must have been stopped.
[[noreturn]] inline void end(int status)
{
    std::error_code ignored;
    if (!std::getenv("KEEP_LOGS"))
        std::filesystem::remove_all(temporaryFolder(), ignored);
    _exit(status);
}

inline bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return !value || std::strcmp(value, "0") != 0;
}

} // namespace standins
