#ifndef QUETZALYOKE_ADAPTERS_INTERNAL_ONDEMANDTHREADPOOL_H
#define QUETZALYOKE_ADAPTERS_INTERNAL_ONDEMANDTHREADPOOL_H

#include <httplib.h>

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace quetzalyoke::internal {

/// \brief A thread pool for connections that starts threads on demand, up to a limit.
///
/// A connection beyond the limit is handled at once on the accepting thread, where isOverflowJob()
/// then returns true, so that it can be refused instead of waiting for a thread.
class OnDemandThreadPool : public httplib::TaskQueue
{
public:
    explicit OnDemandThreadPool(std::size_t limit);

    void enqueue(std::function<void()> job) override;
    void shutdown() override;

    /// Returns whether the job on this thread exceeds the limit of threads.
    static bool isOverflowJob();

private:
    void runWorkerLoop();

    const std::size_t m_limit;
    std::mutex m_mutex; // guards the members below
    std::condition_variable m_available;
    std::deque<std::function<void()>> m_jobs;
    std::vector<std::thread> m_threads;
    std::size_t m_idleCount = 0;
    bool m_stopping = false;
};

} // namespace quetzalyoke::internal

#endif
