#ifndef QUETZALYOKE_APPS_GATEWAY_INSTANCELISTPOLLER_H
#define QUETZALYOKE_APPS_GATEWAY_INSTANCELISTPOLLER_H

#include "Adapters/HttpPlatformClient.h"
#include "Core/StrongTypes.h"

#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <set>
#include <thread>

namespace quetzalyoke {

/// \brief Polls the platform's instance list and reports which instances are leaving.
///
/// While the list can't be read, the last report remains valid.
class InstanceListPoller
{
public:
    using Listener = std::function<void(std::set<InstanceId> leaving)>;

    /// Reads the list every \a interval on a thread of its own and calls \a listener there.
    InstanceListPoller(HttpPlatformClient &platform, std::chrono::milliseconds interval,
                       Listener listener);
    ~InstanceListPoller();

    void stop();

private:
    void pollLoop();
    void readList();

    HttpPlatformClient &m_platform;
    const std::chrono::milliseconds m_interval;
    const Listener m_listener;
    std::mutex m_mutex; // protects m_stopping
    std::condition_variable m_stopped;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace quetzalyoke

#endif
