#ifndef QUETZALYOKE_APPS_ENTRY_WAITQUEUE_H
#define QUETZALYOKE_APPS_ENTRY_WAITQUEUE_H

#include "Core/StrongTypes.h"

#include <map>
#include <memory>

namespace quetzalyoke {

/// \brief Something that waits for a place at a server.
class Waiter
{
public:
    virtual ~Waiter() = default;
    /// Tries again; whether it has stopped waiting.
    virtual bool retryDispatch() = 0;
};

/// \brief Requests that wait, the most urgent first, then the oldest.
class WaitQueue
{
public:
    void add(int priority, Instant arrivedAt, const std::shared_ptr<Waiter> &waiter);
    void remove(const Waiter *waiter);
    /// Lets each try again, in order.
    void retryDispatches();
    bool isEmpty() const { return m_waiters.empty(); }
    std::size_t size() const { return m_waiters.size(); }

private:
    std::multimap<std::pair<int, Instant>, std::shared_ptr<Waiter>> m_waiters;
};

} // namespace quetzalyoke

#endif
