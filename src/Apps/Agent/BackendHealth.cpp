#include "Apps/Agent/BackendHealth.h"

#include <array>
#include <chrono>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace quetzalyoke {

namespace {

// A process that has just crashed may close its connections before its listening socket, so one
// successful probe is not enough.
constexpr int probesAfterFailure = 3;
constexpr std::chrono::milliseconds connectTimeout{100};
// A connection that is closed within this time was accepted by something other than the server, for
// example a forwarder in front of it.
constexpr std::chrono::milliseconds closeTimeout{20};
constexpr std::chrono::milliseconds probeInterval{100};

bool isReady(int socket, short events, std::chrono::milliseconds wait)
{
    pollfd entry{socket, events, 0};
    return poll(&entry, 1, static_cast<int>(wait.count())) > 0;
}

bool canConnect(int socket, const Address &address)
{
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_port = htons(static_cast<std::uint16_t>(address.port));
    if (inet_pton(AF_INET, address.host.c_str(), &target.sin_addr) != 1)
        return false;
    if (connect(socket, reinterpret_cast<sockaddr *>(&target), sizeof(target)) == 0)
        return true;
    if (errno != EINPROGRESS)
        return false;
    // A busy server leaves connections pending, so a timeout does not mean that it is down; only a
    // refused connection does.
    if (!isReady(socket, POLLOUT, connectTimeout))
        return true;
    int error = 0;
    socklen_t n = sizeof(error);
    getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &n);
    return error == 0;
}

bool staysOpen(int socket)
{
    if (!isReady(socket, POLLIN, closeTimeout))
        return true;
    std::array<char, 1> buf{};
    return recv(socket, buf.data(), buf.size(), MSG_DONTWAIT) > 0;
}

} // namespace

BackendHealth::BackendHealth(const Address &backend, std::function<void(bool)> onChange)
    : m_backend(backend), m_onChange(std::move(onChange))
{
    m_thread = std::thread([this] { runProbeLoop(); });
}

BackendHealth::~BackendHealth()
{
    stop();
}

void BackendHealth::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
        m_wake.notify_all();
    }
    if (m_thread.joinable())
        m_thread.join();
}

bool BackendHealth::isDown() const
{
    const std::lock_guard lock(m_mutex);
    return m_down;
}

bool BackendHealth::checkAfterFailure()
{
    for (int i = 0; i < probesAfterFailure; ++i) {
        if (isReachable())
            continue;
        {
            const std::lock_guard lock(m_mutex);
            if (m_down)
                return true;
            m_down = true;
            m_wake.notify_all();
        }
        m_onChange(true);
        return true;
    }
    return false;
}

bool BackendHealth::isReachable() const
{
    const int probe = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const bool reachable = probe >= 0 && canConnect(probe, m_backend) && staysOpen(probe);
    if (probe >= 0)
        close(probe);
    return reachable;
}

void BackendHealth::runProbeLoop()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        m_wake.wait(lock, [this] { return m_stopping || m_down; });
        m_wake.wait_for(lock, probeInterval, [this] { return m_stopping; });
        if (m_stopping || !m_down)
            continue;
        lock.unlock();
        const bool reachable = isReachable();
        if (reachable)
            m_onChange(false);
        lock.lock();
        m_down = !reachable;
    }
}

} // namespace quetzalyoke
