#include "Apps/Gateway/InstanceListPoller.h"

#include "Adapters/Metrics.h"

namespace quetzalyoke {

InstanceListPoller::InstanceListPoller(HttpPlatformClient &platform,
                                       std::chrono::milliseconds interval, Listener listener)
    : m_platform(platform), m_interval(interval), m_listener(std::move(listener))
{
    m_thread = std::thread([this] { pollLoop(); });
}

InstanceListPoller::~InstanceListPoller()
{
    stop();
}

void InstanceListPoller::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_stopped.notify_all();
    if (m_thread.joinable())
        m_thread.join();
}

void InstanceListPoller::pollLoop()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        lock.unlock();
        readList();
        lock.lock();
        m_stopped.wait_for(lock, m_interval, [this] { return m_stopping; });
    }
}

// The list lags behind: a server that stops by itself is first reported as draining by its agent.
void InstanceListPoller::readList()
{
    std::set<InstanceId> leaving;
    try {
        for (const ListedInstance &it : m_platform.instances()) {
            if (it.leaving)
                leaving.insert(it.instance);
        }
    } catch (const std::exception &) {
        Metrics::incrementCounter("instance_list_reads_failed_total");
        return;
    }
    m_listener(std::move(leaving));
}

} // namespace quetzalyoke
