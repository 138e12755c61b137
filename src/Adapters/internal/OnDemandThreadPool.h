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

/// \brief Threads for connections, started as they are needed, up to a limit.
///
/// A connection beyond the limit is handled at once by the accepting thread, with isOverflowJob()
/// set, so that it can be refused instead of waiting for a thread.
class OnDemandThreadPool : public httplib::TaskQueue
{
public:
    explicit OnDemandThreadPool(std::size_t limit);

    void enqueue(std::function<void()> job) override;
    void shutdown() override;

    /// Whether the job on this thread is one beyond the limit.
    static bool isOverflowJob();

private:
    void runWorkerLoop();

    const std::size_t m_limit;
    std::mutex m_mutex; // of the members below
    std::condition_variable m_available;
    std::deque<std::function<void()>> m_jobs;
    std::vector<std::thread> m_threads;
    std::size_t m_idle = 0;
    bool m_stopping = false;
};

} // namespace quetzalyoke::internal

#endif
