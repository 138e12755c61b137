#ifndef QUETZALYOKE_CORE_REQUESTS_ATTEMPTQUEUE_H
#define QUETZALYOKE_CORE_REQUESTS_ATTEMPTQUEUE_H

#include "Core/StrongTypes.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace quetzalyoke {

/// \brief A waiting attempt as the queue's order depends on it.
struct QueuedAttempt
{
    AttemptId id;
    AccountId account;
    int priority = 0; ///< Lower runs first.
    Tokens estimatedTokens; ///< Prompt and expected answer.
    Instant deadline;
};

/// \brief The order in which an agent runs waiting attempts. Not thread-safe.
class AttemptQueue
{
public:
    virtual ~AttemptQueue() = default;

    virtual void push(const QueuedAttempt &attempt) = 0;
    /// Removes and returns the next attempt.
    virtual std::optional<QueuedAttempt> pop(Instant now) = 0;
    virtual std::size_t size() const = 0;
};

using AttemptQueueFactory = std::function<std::unique_ptr<AttemptQueue>()>;

/// First come, first served, the plain baseline.
std::unique_ptr<AttemptQueue> makeFifoQueue();

/// Factory for the policy named \a name in the settings ("fifo" or "fair"). Throws Error
/// (BadSettings).
AttemptQueueFactory attemptQueueFactory(const std::string &name);

} // namespace quetzalyoke

#endif
