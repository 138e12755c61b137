#ifndef QUETZALYOKE_CORE_REQUESTS_ATTEMPTQUEUE_H
#define QUETZALYOKE_CORE_REQUESTS_ATTEMPTQUEUE_H

#include "Core/StrongTypes.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace quetzalyoke {

/// \brief A waiting attempt, with the properties that the order of the queue depends on.
struct QueuedAttempt
{
    AttemptId id;
    AccountId account;
    int priority = 0; ///< Lower runs first.
    Tokens estimatedTokens; ///< Tokens of the prompt and the expected response.
    Instant deadline;
};

/// \brief The order in which an agent runs waiting attempts. Not thread-safe.
class AttemptQueue
{
public:
    virtual ~AttemptQueue() = default;

    /// Adds an attempt.
    virtual void push(const QueuedAttempt &attempt) = 0;
    /// Removes and returns the next attempt, or nothing if the queue is empty.
    virtual std::optional<QueuedAttempt> pop(Instant now) = 0;
    virtual std::size_t size() const = 0;
};

using AttemptQueueFactory = std::function<std::unique_ptr<AttemptQueue>()>;

/// Returns a queue that runs attempts in the order of their arrival.
std::unique_ptr<AttemptQueue> makeFifoQueue();

/// Returns the factory for the policy called \a name in the settings ("fifo" or "fair"). Throws
/// Error (BadSettings) for any other name.
AttemptQueueFactory attemptQueueFactory(const std::string &name);

} // namespace quetzalyoke

#endif
