#ifndef QUETZALYOKE_APPS_ENTRY_WAITQUEUE_H
#define QUETZALYOKE_APPS_ENTRY_WAITQUEUE_H

#include "Core/StrongTypes.h"

#include <map>
#include <memory>

namespace quetzalyoke {

/// \brief A request that waits to be dispatched to a server.
class Waiter
{
public:
    virtual ~Waiter() = default;
    /// Tries to dispatch the request again; returns whether it has stopped waiting.
    virtual bool retryDispatch() = 0;
};

/// \brief Queue of waiting requests, ordered by priority, then by age.
class WaitQueue
{
public:
    void add(int priority, Instant arrivedAt, const std::shared_ptr<Waiter> &waiter);
    void remove(const Waiter *waiter);
    /// Lets each waiting request try to dispatch again, in order.
    void retryDispatches();
    /// Returns the number of requests that come before one with this priority and arrival.
    std::size_t countBefore(int priority, Instant arrivedAt) const;
    bool isEmpty() const { return m_waiters.empty(); }
    std::size_t size() const { return m_waiters.size(); }

private:
    std::multimap<std::pair<int, Instant>, std::shared_ptr<Waiter>> m_waiters;
};

} // namespace quetzalyoke

#endif
