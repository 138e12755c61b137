#include "Apps/Entry/WaitQueue.h"

#include "Adapters/Async/HandlerGuard.h"

#include <vector>

namespace quetzalyoke {

void WaitQueue::add(int priority, Instant arrivedAt, const std::shared_ptr<Waiter> &waiter)
{
    m_waiters.emplace(std::pair(priority, arrivedAt), waiter);
}

void WaitQueue::remove(const Waiter *waiter)
{
    std::erase_if(m_waiters, [waiter](const auto &entry) { return entry.second.get() == waiter; });
}

std::size_t WaitQueue::countBefore(int priority, Instant arrivedAt) const
{
    const auto end = m_waiters.lower_bound(std::pair(priority, arrivedAt));
    return static_cast<std::size_t>(std::distance(m_waiters.begin(), end));
}

void WaitQueue::retryDispatches()
{
    // A retry may add or remove waiters.
    std::vector<std::shared_ptr<Waiter>> waiters;
    waiters.reserve(m_waiters.size());
    for (const auto &entry : m_waiters)
        waiters.push_back(entry.second);
    for (const auto &waiter : waiters) {
        bool isDone = true; // also after an exception; the request then ends at its deadline
        callGuarded("waiting_request", [&] { isDone = waiter->retryDispatch(); });
        if (isDone)
            remove(waiter.get());
    }
}

} // namespace quetzalyoke
