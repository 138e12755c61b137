#include "Apps/Entry/WaitQueue.h"

#include "Adapters/Async/EventLoop.h"
#include "Adapters/Async/HandlerGuard.h"

#include <algorithm>

namespace quetzalyoke {

void WaitQueue::add(const RequestUrgency &urgency, const std::shared_ptr<Waiter> &waiter)
{
    m_entries.push_back({urgency, waiter});
}

void WaitQueue::remove(const Waiter *waiter)
{
    std::erase_if(m_entries, [waiter](const Entry &entry) { return entry.waiter.get() == waiter; });
}

void WaitQueue::retryDispatches()
{
    retryDispatches(steadyNow());
}

void WaitQueue::retryDispatches(Instant now)
{
    retry([](const Entry &) { return true; }, now);
}

void WaitQueue::retryMoreUrgent(const RequestUrgency &arriving, Instant now)
{
    if (m_entries.empty())
        return;
    const UrgencyRank rank = urgencyRank(arriving, accountWork, now);
    retry(
        [&](const Entry &entry) {
            return entry.urgency.service == arriving.service
                && urgencyRank(entry.urgency, accountWork, now) < rank;
        },
        now);
}

std::size_t WaitQueue::countBefore(const RequestUrgency &urgency, Instant now) const
{
    const UrgencyRank rank = urgencyRank(urgency, accountWork, now);
    return static_cast<std::size_t>(
        std::count_if(m_entries.begin(), m_entries.end(), [&](const Entry &entry) {
            return entry.urgency.service == urgency.service && entry.urgency.model == urgency.model
                && urgencyRank(entry.urgency, accountWork, now) < rank;
        }));
}

// Ranks change while requests wait, so they are computed for each pass. A retry may add or remove
// waiters.
void WaitQueue::retry(const std::function<bool(const Entry &entry)> &isSelected, Instant now)
{
    std::vector<std::pair<UrgencyRank, std::shared_ptr<Waiter>>> selected;
    for (const Entry &entry : m_entries) {
        if (isSelected(entry))
            selected.emplace_back(urgencyRank(entry.urgency, accountWork, now), entry.waiter);
    }
    std::stable_sort(selected.begin(), selected.end(),
                     [](const auto &a, const auto &b) { return a.first < b.first; });
    for (const auto &entry : selected) {
        const std::shared_ptr<Waiter> &waiter = entry.second;
        bool isDone = true; // also after an exception; the request then ends at its deadline
        callGuarded("waiting_request", [&] { isDone = waiter->retryDispatch(); });
        if (isDone)
            remove(waiter.get());
    }
}

} // namespace quetzalyoke
