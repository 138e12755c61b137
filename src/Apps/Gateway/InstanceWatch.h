#ifndef QUETZALYOKE_APPS_GATEWAY_INSTANCEWATCH_H
#define QUETZALYOKE_APPS_GATEWAY_INSTANCEWATCH_H

#include "Adapters/HttpPlatform.h"
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
class InstanceWatch
{
public:
    using Listener = std::function<void(std::set<InstanceId> leaving)>;

    /// Calls \a listener on the watch's own thread every \a interval.
    InstanceWatch(HttpPlatform &platform, std::chrono::milliseconds interval, Listener listener);
    ~InstanceWatch();

    void stop();

private:
    void work();
    void readList();

    HttpPlatform &m_platform;
    const std::chrono::milliseconds m_interval;
    const Listener m_listener;
    std::mutex m_mutex; // of m_stopping
    std::condition_variable m_changed;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace quetzalyoke

#endif
