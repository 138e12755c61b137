#include "Apps/Entry/WaitingLine.h"

#include <vector>

namespace quetzalyoke {

void WaitingLine::add(int priority, Instant arrivedAt, const std::shared_ptr<Waiter> &waiter)
{
    m_waiters.emplace(std::pair(priority, arrivedAt), waiter);
}

void WaitingLine::remove(const Waiter *waiter)
{
    std::erase_if(m_waiters, [waiter](const auto &entry) { return entry.second.get() == waiter; });
}

void WaitingLine::retryAll()
{
    // A retry may add or remove waiters.
    std::vector<std::shared_ptr<Waiter>> waiters;
    waiters.reserve(m_waiters.size());
    for (const auto &entry : m_waiters)
        waiters.push_back(entry.second);
    for (const auto &waiter : waiters) {
        if (waiter->retry())
            remove(waiter.get());
    }
}

} // namespace quetzalyoke
