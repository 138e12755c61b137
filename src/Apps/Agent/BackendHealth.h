#ifndef QUETZALYOKE_APPS_AGENT_BACKENDHEALTH_H
#define QUETZALYOKE_APPS_AGENT_BACKENDHEALTH_H

#include "Adapters/Address.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace quetzalyoke {

/// \brief Whether the backend server takes connections at all.
///
/// It is looked at only after a request failed, and from then on until it is up again, so a
/// healthy server sees no probes. A probe opens a connection and sends nothing.
class BackendHealth
{
public:
    /// \a onChange gets true when the server is found down and false when it is up again.
    BackendHealth(const Address &backend, std::function<void(bool)> onChange);
    ~BackendHealth();
    BackendHealth(const BackendHealth &) = delete;
    BackendHealth &operator=(const BackendHealth &) = delete;

    /// Looks at the server after a failed request; true where it is down.
    bool checkAfterFailure();
    bool isDown() const;
    void stop();

private:
    bool isReachable() const;
    void runProbeLoop();

    const Address m_backend;
    const std::function<void(bool)> m_onChange;
    mutable std::mutex m_mutex; // of the members below
    std::condition_variable m_wake;
    bool m_down = false;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace quetzalyoke

#endif
