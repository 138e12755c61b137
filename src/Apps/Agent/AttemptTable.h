#ifndef QUETZALYOKE_APPS_AGENT_ATTEMPTTABLE_H
#define QUETZALYOKE_APPS_AGENT_ATTEMPTTABLE_H

#include "Apps/Agent/Attempt.h"
#include "Core/RequestQueue.h"

#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

namespace quetzalyoke {

/// \brief The attempts an agent knows, and the bounded queue of those that wait.
///
/// An attempt id is accepted once: a repeated submission finds the first one's attempt.
/// Lock order: the table's lock before an attempt's.
class AttemptTable
{
public:
    struct Limits
    {
        std::size_t queueLength = 0;
        std::size_t bufferBytes = 0;
        std::chrono::milliseconds keepFinished{};
    };

    AttemptTable(const Limits &limits, std::unique_ptr<RequestQueue> queue);

    struct Admission
    {
        std::shared_ptr<Attempt> attempt; ///< Nothing where refused.
        wire::ErrorCode::type refusal = wire::ErrorCode::None;
    };

    /// Queues a new attempt, or finds the one with the same id.
    Admission submit(const wire::Submission &submission, Instant now);
    std::shared_ptr<Attempt> find(const std::string &attemptId) const;

    /// Next attempt to run; waits up to \a wait for one.
    std::shared_ptr<Attempt> takeNext(std::chrono::milliseconds wait);
    /// Says that an attempt taken by takeNext() no longer runs.
    void release();

    /// From now on takes model requests only for these models and adapters.
    void offer(std::set<std::string> names);
    /// Attempts for a model or adapter that are accepted and not finished.
    std::size_t inFlight(const std::string &name) const;

    /// Refuses new attempts from now on.
    void drain();
    bool isDraining() const;
    /// Forgets answers that finished longer ago than Limits::keepFinished.
    void expire(Instant now);

    std::size_t queued() const;
    std::size_t running() const;

private:
    bool isOfferedLocked(const wire::Submission &submission) const;

    const Limits m_limits;
    mutable std::mutex m_mutex; // of the members below
    std::condition_variable m_available;
    std::unordered_map<std::string, std::shared_ptr<Attempt>> m_attempts;
    std::unique_ptr<RequestQueue> m_queue;
    std::optional<std::set<std::string>> m_offered; // nothing: everything
    std::size_t m_running = 0;
    bool m_draining = false;
};

} // namespace quetzalyoke

#endif
