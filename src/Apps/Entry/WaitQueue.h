#ifndef QUETZALYOKE_APPS_ENTRY_WAITQUEUE_H
#define QUETZALYOKE_APPS_ENTRY_WAITQUEUE_H

#include "Serving/Requests/RequestUrgency.h"

#include <functional>
#include <memory>
#include <vector>

namespace quetzalyoke {

/// \brief A request that waits to be dispatched to a server.
class Waiter
{
public:
    virtual ~Waiter() = default;
    /// Tries to dispatch the request again; returns whether it has stopped waiting.
    virtual bool retryDispatch() = 0;
};

/// \brief Queue of waiting requests, in the order of their UrgencyRank.
class WaitQueue
{
public:
    void add(const RequestUrgency &urgency, const std::shared_ptr<Waiter> &waiter);
    void remove(const Waiter *waiter);
    /// Lets each waiting request try to dispatch again, in order.
    void retryDispatches(Instant now);
    void retryDispatches();
    /// Does the same for the requests to the same service that come before an arriving one.
    void retryMoreUrgent(const RequestUrgency &arriving, Instant now);
    /// Returns the number of requests for the same service and model that come before this one.
    std::size_t countBefore(const RequestUrgency &urgency, Instant now) const;
    bool isEmpty() const { return m_entries.empty(); }
    std::size_t size() const { return m_entries.size(); }

    /// The waiting and running requests of each account.
    AccountWork accountWork;

private:
    struct Entry
    {
        RequestUrgency urgency;
        std::shared_ptr<Waiter> waiter;
    };

    void retry(const std::function<bool(const Entry &entry)> &isSelected, Instant now);

    std::vector<Entry> m_entries; // in the order of arrival
};

} // namespace quetzalyoke

#endif
