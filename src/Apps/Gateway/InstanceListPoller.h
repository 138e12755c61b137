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

/// \brief Reads the platform's list of instances and tells which of them are leaving.
///
/// While the list can't be read, what it said last stays in force.
class InstanceListPoller
{
public:
    using Listener = std::function<void(std::set<InstanceId> leaving)>;

    /// Calls \a listener on the watch's own thread every \a interval.
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
    std::mutex m_mutex; // of m_stopping
    std::condition_variable m_changed;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace quetzalyoke

#endif
