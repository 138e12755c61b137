// Plain sockets and a small HTTP/1.1 reader for the stand-ins of this review.
#ifndef REVIEW_STANDINS_NET_H
#define REVIEW_STANDINS_NET_H

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <cstdint>
#include <cstring>
#include <map>
#include <optional>
#include <string>
#include <thread>
#include <utility>

namespace review {

using Clock = std::chrono::steady_clock;

inline std::int64_t nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now().time_since_epoch())
        .count();
}

inline void sleepMs(std::int64_t ms)
{
    if (ms > 0)
        std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

struct LessNoCase
{
    bool operator()(const std::string &a, const std::string &b) const
    {
        return strcasecmp(a.c_str(), b.c_str()) < 0;
    }
};
using Headers = std::map<std::string, std::string, LessNoCase>;

struct Message
{
    std::string method; // of a request
    std::string target;
    int status = 0; // of a response
    Headers headers;
    std::string body;
    std::string get(const std::string &name) const
    {
        const auto it = headers.find(name);
        return it == headers.end() ? std::string() : it->second;
    }
};

// Listens at a free port of 127.0.0.1; a small receive buffer acts like the small windows of the
// users' network.
inline int listenAt(int &port, int receiveBuffer = 0)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    if (receiveBuffer > 0)
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof receiveBuffer);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (bind(fd, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0
        || listen(fd, 1024) != 0) {
        close(fd);
        return -1;
    }
    socklen_t n = sizeof address;
    getsockname(fd, reinterpret_cast<sockaddr *>(&address), &n);
    port = ntohs(address.sin_port);
    return fd;
}

inline int freePort()
{
    int port = 0;
    const int fd = listenAt(port);
    close(fd);
    return port;
}

inline int connectTo(int port)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (connect(fd, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0) {
        close(fd);
        return -1;
    }
    const int one = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    return fd;
}

// A connection with the bytes that have been received and not used yet.
class Channel
{
public:
    explicit Channel(int fd) : m_fd(fd) { }
    ~Channel() { shut(); }
    Channel(const Channel &) = delete;
    Channel &operator=(const Channel &) = delete;

    bool isOpen() const { return m_fd >= 0; }
    int fd() const { return m_fd; }
    bool wasReset() const { return m_wasReset; }
    void shut()
    {
        if (m_fd >= 0)
            close(m_fd);
        m_fd = -1;
    }
    bool send(const std::string &text)
    {
        std::size_t sent = 0;
        while (m_fd >= 0 && sent < text.size()) {
            const ssize_t n
                = ::send(m_fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
            if (n <= 0)
                return false;
            sent += static_cast<std::size_t>(n);
        }
        return m_fd >= 0;
    }
    // Returns false at the end, after a reset or once `untilMs` has passed.
    bool receive(std::int64_t untilMs, std::size_t most = 65536)
    {
        if (m_fd < 0)
            return false;
        const std::int64_t left = untilMs - nowMs();
        pollfd entry{m_fd, POLLIN, 0};
        if (left <= 0 || poll(&entry, 1, static_cast<int>(left)) <= 0) {
            m_timedOut = true;
            return false;
        }
        char buf[65536];
        const ssize_t n = recv(m_fd, buf, std::min(most, sizeof buf), 0);
        if (n <= 0) {
            m_wasReset = n < 0;
            m_ended = true;
            return false;
        }
        m_buf.append(buf, static_cast<std::size_t>(n));
        return true;
    }
    bool timedOut() const { return m_timedOut; }
    bool ended() const { return m_ended; }
    // Reads the head of a message.
    std::optional<Message> readHead(std::int64_t untilMs)
    {
        m_timedOut = false;
        std::size_t end = 0;
        while ((end = m_buf.find("\r\n\r\n")) == std::string::npos) {
            if (!receive(untilMs))
                return {};
        }
        Message message;
        const std::string head = m_buf.substr(0, end + 2);
        m_buf.erase(0, end + 4);
        std::size_t at = head.find("\r\n");
        const std::string first = head.substr(0, at);
        if (first.starts_with("HTTP/")) {
            message.status = std::atoi(first.substr(9, 3).c_str());
        } else {
            message.method = first.substr(0, first.find(' '));
            const auto space = first.find(' ');
            message.target = first.substr(space + 1, first.rfind(' ') - space - 1);
        }
        at += 2;
        while (at < head.size()) {
            const auto line = head.find("\r\n", at);
            const std::string text = head.substr(at, line - at);
            at = line + 2;
            const auto colon = text.find(':');
            if (colon == std::string::npos)
                continue;
            std::size_t value = colon + 1;
            while (value < text.size() && text[value] == ' ')
                ++value;
            message.headers[text.substr(0, colon)] = text.substr(value);
        }
        return message;
    }
    // Reads a body with a length or in chunks. `message.body` is what has come, also on failure.
    bool readBody(Message &message, std::int64_t untilMs)
    {
        if (strcasecmp(message.get("Transfer-Encoding").c_str(), "chunked") != 0) {
            const std::size_t n = std::strtoull(message.get("Content-Length").c_str(), nullptr, 10);
            while (m_buf.size() < n) {
                if (!receive(untilMs)) {
                    message.body = m_buf;
                    return false;
                }
            }
            message.body = m_buf.substr(0, n);
            m_buf.erase(0, n);
            return true;
        }
        while (true) {
            std::size_t line = 0;
            while ((line = m_buf.find("\r\n")) == std::string::npos) {
                if (!receive(untilMs))
                    return false;
            }
            const std::size_t n = std::strtoull(m_buf.c_str(), nullptr, 16);
            while (m_buf.size() < line + 2 + n + 2) {
                if (!receive(untilMs))
                    return false;
            }
            message.body += m_buf.substr(line + 2, n);
            m_buf.erase(0, line + 2 + n + 2);
            if (n == 0)
                return true;
        }
    }
    // Drops `n` bytes of a body, at most `step` of them each `pauseMs`.
    bool discard(std::size_t n, std::size_t step, std::int64_t pauseMs)
    {
        while (n > 0) {
            const std::size_t taken = std::min(n, m_buf.size());
            m_buf.erase(0, taken);
            n -= taken;
            if (n == 0)
                return true;
            sleepMs(pauseMs);
            if (!receive(nowMs() + 30'000, std::min(n, step)))
                return false;
        }
        return true;
    }
    std::string &buffer() { return m_buf; }

private:
    int m_fd;
    std::string m_buf;
    bool m_wasReset = false;
    bool m_timedOut = false;
    bool m_ended = false;
};

} // namespace review

#endif
