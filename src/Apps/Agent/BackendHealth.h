#ifndef QUETZALYOKE_APPS_AGENT_BACKENDHEALTH_H
#define QUETZALYOKE_APPS_AGENT_BACKENDHEALTH_H

#include "Adapters/Address.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace quetzalyoke {

/// \brief Tracks whether the backend server accepts connections.
///
/// The server is probed only after a request has failed, and from then on until it is up again, so
/// a healthy server gets no probes. A probe opens a connection and sends nothing.
class BackendHealth
{
public:
    /// Calls \a onChange with true when the server is found down, and with false when it is up
    /// again.
    BackendHealth(const Address &backend, std::function<void(bool)> onChange);
    ~BackendHealth();
    BackendHealth(const BackendHealth &) = delete;
    BackendHealth &operator=(const BackendHealth &) = delete;

    /// Probes the server after a failed request and returns whether it is down.
    bool checkAfterFailure();
    bool isDown() const;
    void stop();

private:
    bool isReachable() const;
    void runProbeLoop();

    const Address m_backend;
    const std::function<void(bool)> m_onChange;
    mutable std::mutex m_mutex; // guards the members below
    std::condition_variable m_wake;
    bool m_down = false;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace quetzalyoke

#endif
