#include "Adapters/internal/LimitedStream.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cstring>
#include <poll.h>
#include <sys/socket.h>

namespace quetzalyoke::internal {

namespace {

using Clock = std::chrono::steady_clock;

bool waitFor(socket_t socket, short events, std::chrono::milliseconds wait)
{
    pollfd entry{socket, events, 0};
    const auto millis = std::max<std::int64_t>(0, wait.count());
    return poll(&entry, 1, static_cast<int>(millis)) > 0;
}

void convertAddress(const sockaddr_storage &address, std::string &ip, int &port)
{
    std::array<char, INET6_ADDRSTRLEN> buf{};
    if (address.ss_family == AF_INET) {
        const auto &v4 = reinterpret_cast<const sockaddr_in &>(address);
        inet_ntop(AF_INET, &v4.sin_addr, buf.data(), buf.size());
        port = ntohs(v4.sin_port);
    } else if (address.ss_family == AF_INET6) {
        const auto &v6 = reinterpret_cast<const sockaddr_in6 &>(address);
        inet_ntop(AF_INET6, &v6.sin6_addr, buf.data(), buf.size());
        port = ntohs(v6.sin6_port);
    }
    ip = buf.data();
}

} // namespace

bool isClosedByPeer(socket_t socket)
{
    char byte = 0;
    const ssize_t n = recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

LimitedStream::LimitedStream(socket_t socket, const Limits &limits)
    : m_socket(socket), m_limits(limits)
{ }

bool LimitedStream::waitForRequest(std::chrono::milliseconds wait)
{
    const bool buffered = m_bufferStart < m_bufferEnd;
    if (!buffered && (!waitFor(m_socket, POLLIN, wait) || isClosedByPeer(m_socket)))
        return false;
    m_receivedBytes = 0;
    m_requestDeadline = Clock::now() + m_limits.requestTimeout;
    return true;
}

bool LimitedStream::is_readable() const
{
    return m_bufferStart < m_bufferEnd || waitFor(m_socket, POLLIN, m_limits.requestTimeout);
}

bool LimitedStream::is_writable() const
{
    return waitFor(m_socket, POLLOUT, m_limits.writeTimeout) && !isClosedByPeer(m_socket);
}

ssize_t LimitedStream::read(char *ptr, size_t size)
{
    if (m_bufferStart == m_bufferEnd && size >= bufferBytes)
        return receive(ptr, size);
    if (m_bufferStart == m_bufferEnd) {
        const ssize_t n = receive(m_buffer.data(), m_buffer.size());
        if (n <= 0)
            return n;
        m_bufferStart = 0;
        m_bufferEnd = static_cast<std::size_t>(n);
    }
    const std::size_t n = std::min(size, m_bufferEnd - m_bufferStart);
    std::memcpy(ptr, m_buffer.data() + m_bufferStart, n);
    m_bufferStart += n;
    return static_cast<ssize_t>(n);
}

ssize_t LimitedStream::receive(char *ptr, size_t size)
{
    const auto remaining
        = std::chrono::ceil<std::chrono::milliseconds>(m_requestDeadline - Clock::now());
    m_limitExceeded = remaining.count() <= 0 || m_receivedBytes > m_limits.requestBytes
        || !waitFor(m_socket, POLLIN, remaining);
    if (m_limitExceeded)
        return -1;
    const ssize_t n = recv(m_socket, ptr, size, 0);
    if (n > 0)
        m_receivedBytes += static_cast<std::size_t>(n);
    return n;
}

ssize_t LimitedStream::write(const char *ptr, size_t size)
{
    if (!waitFor(m_socket, POLLOUT, m_limits.writeTimeout))
        return -1;
    return send(m_socket, ptr, size, MSG_NOSIGNAL | MSG_DONTWAIT);
}

void LimitedStream::get_remote_ip_and_port(std::string &ip, int &port) const
{
    sockaddr_storage address{};
    socklen_t n = sizeof(address);
    if (getpeername(m_socket, reinterpret_cast<sockaddr *>(&address), &n) == 0)
        convertAddress(address, ip, port);
}

void LimitedStream::get_local_ip_and_port(std::string &ip, int &port) const
{
    sockaddr_storage address{};
    socklen_t n = sizeof(address);
    if (getsockname(m_socket, reinterpret_cast<sockaddr *>(&address), &n) == 0)
        convertAddress(address, ip, port);
}

} // namespace quetzalyoke::internal
