#include "Adapters/internal/OnDemandThreadPool.h"

namespace quetzalyoke::internal {

namespace {

thread_local bool runsOverflowJob = false;

} // namespace

OnDemandThreadPool::OnDemandThreadPool(std::size_t limit) : m_limit(limit) { }

bool OnDemandThreadPool::isOverflowJob()
{
    return runsOverflowJob;
}

void OnDemandThreadPool::enqueue(std::function<void()> job)
{
    {
        const std::lock_guard lock(m_mutex);
        const bool needsThread = m_idleCount <= m_jobs.size();
        if (!needsThread || m_threads.size() < m_limit) {
            m_jobs.push_back(std::move(job));
            if (needsThread)
                m_threads.emplace_back([this] { runWorkerLoop(); });
            m_available.notify_one();
            return;
        }
    }
    runsOverflowJob = true;
    job();
    runsOverflowJob = false;
}

void OnDemandThreadPool::runWorkerLoop()
{
    std::unique_lock lock(m_mutex);
    while (true) {
        ++m_idleCount;
        m_available.wait(lock, [this] { return m_stopping || !m_jobs.empty(); });
        --m_idleCount;
        if (m_jobs.empty())
            return;
        const auto job = std::move(m_jobs.front());
        m_jobs.pop_front();
        lock.unlock();
        job();
        lock.lock();
    }
}

void OnDemandThreadPool::shutdown()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
        m_available.notify_all();
    }
    for (std::thread &it : m_threads)
        it.join();
}

} // namespace quetzalyoke::internal
