#include "LinkRelay.h"

#include "Core/Error.h"

#include <arpa/inet.h>
#include <array>
#include <chrono>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace quetzalyoke::scenarios {

namespace {

constexpr int pollMillis = 20;
constexpr std::chrono::milliseconds holdPollInterval{5};
constexpr int backlog = 256;
constexpr int maxListenAttempts = 40;
constexpr std::size_t bufferBytes = 65'536;

sockaddr_in toSocketAddress(const Address &address)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(address.port));
    inet_pton(AF_INET, address.host.c_str(), &result.sin_addr);
    return result;
}

int connectTo(const Address &address)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in target = toSocketAddress(address);
    if (connect(fd, reinterpret_cast<const sockaddr *>(&target), sizeof target) == 0)
        return fd;
    close(fd);
    return -1;
}

// Returns a socket that listens at \a address; -1 on failure.
int listenAt(const Address &address)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in local = toSocketAddress(address);
    if (bind(fd, reinterpret_cast<const sockaddr *>(&local), sizeof local) == 0
        && listen(fd, backlog) == 0)
        return fd;
    close(fd);
    return -1;
}

void disableNagle(int fd)
{
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

bool isReadable(int fd)
{
    pollfd waiter{fd, POLLIN, 0};
    return poll(&waiter, 1, pollMillis) > 0;
}

bool sendAll(int fd, const char *data, std::size_t n)
{
    while (n > 0) {
        const auto sent = send(fd, data, n, MSG_NOSIGNAL);
        if (sent <= 0)
            return false;
        data += sent;
        n -= static_cast<std::size_t>(sent);
    }
    return true;
}

} // namespace

LinkRelay::LinkRelay(const Address &listen) : m_listener(listenAt(listen)), m_address(listen)
{
    sockaddr_in local{};
    socklen_t n = sizeof local;
    if (m_listener < 0 || getsockname(m_listener, reinterpret_cast<sockaddr *>(&local), &n) != 0)
        throw Error(ErrorKind::BadSettings, "a link can't listen; raise the open file limit");
    m_address.port = ntohs(local.sin_port);
    m_thread = std::thread([this] { acceptConnections(); });
}

LinkRelay::~LinkRelay()
{
    m_stopping = true;
    m_thread.join();
    close(m_listener);
}

void LinkRelay::setTarget(const Address &target)
{
    const std::lock_guard lock(m_mutex);
    m_target = target;
}

void LinkRelay::stopListening()
{
    replaceListener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
}

// The accepting thread may still be polling the earlier listener, which then keeps the port.
void LinkRelay::resumeListening()
{
    int fd = -1;
    for (int i = 0; i < maxListenAttempts && fd < 0; ++i) {
        fd = listenAt(m_address);
        if (fd < 0)
            std::this_thread::sleep_for(holdPollInterval);
    }
    replaceListener(fd);
}

// The accepting thread goes on with the same descriptor. Processes that are started later must not
// inherit it, since the port would stay in use.
void LinkRelay::replaceListener(int fd)
{
    if (fd < 0)
        throw Error(ErrorKind::BadSettings, "a link can't listen at its port again");
    dup3(fd, m_listener, O_CLOEXEC);
    close(fd);
}

void LinkRelay::acceptConnections()
{
    while (!m_stopping) {
        removeEndedConnections();
        // While stalled, connections are not accepted, but the kernel still completes their
        // handshakes.
        if (m_state == LinkState::Stalled || !isReadable(m_listener)) {
            std::this_thread::sleep_for(holdPollInterval);
            continue;
        }
        const int near = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (near >= 0)
            open(near);
        else
            std::this_thread::sleep_for(holdPollInterval);
    }
    for (Connection &it : m_connections)
        join(it);
}

void LinkRelay::open(int near)
{
    Address target;
    {
        const std::lock_guard lock(m_mutex);
        target = m_target;
    }
    const bool forwards = m_state != LinkState::Closed && target.port != 0;
    const int far = forwards ? connectTo(target) : -1;
    if (far < 0) {
        close(near);
        return;
    }
    disableNagle(near);
    disableNagle(far);
    Connection &connection = m_connections.emplace_back();
    connection.near = near;
    connection.far = far;
    connection.forward = std::thread([this, &connection] { pump(connection, true); });
    connection.backward = std::thread([this, &connection] { pump(connection, false); });
}

void LinkRelay::pump(Connection &connection, bool forward)
{
    const int from = forward ? connection.near : connection.far;
    const int to = forward ? connection.far : connection.near;
    std::array<char, bufferBytes> buf{};
    while (!m_stopping && m_state != LinkState::Closed && connection.pumps == 2) {
        if (isHolding(forward)) {
            std::this_thread::sleep_for(holdPollInterval);
            continue;
        }
        if (!isReadable(from))
            continue;
        const auto n = recv(from, buf.data(), buf.size(), 0);
        while (isHolding(forward) && !m_stopping)
            std::this_thread::sleep_for(holdPollInterval);
        if (n <= 0 || m_state == LinkState::Closed)
            break;
        if (!sendAll(to, buf.data(), static_cast<std::size_t>(n)))
            break;
    }
    --connection.pumps;
    shutdown(connection.near, SHUT_RDWR);
    shutdown(connection.far, SHUT_RDWR);
}

bool LinkRelay::isHolding(bool forward) const
{
    const LinkState state = m_state;
    return state == LinkState::Stalled || (state == LinkState::ResponsesStalled && !forward);
}

void LinkRelay::removeEndedConnections()
{
    for (auto it = m_connections.begin(); it != m_connections.end();) {
        if (it->pumps > 0) {
            ++it;
            continue;
        }
        join(*it);
        it = m_connections.erase(it);
    }
}

void LinkRelay::join(Connection &connection)
{
    connection.forward.join();
    connection.backward.join();
    close(connection.near);
    close(connection.far);
}

} // namespace quetzalyoke::scenarios
