#ifndef QUETZALYOKE_APPS_AGENT_ATTEMPTTABLE_H
#define QUETZALYOKE_APPS_AGENT_ATTEMPTTABLE_H

#include "Apps/Agent/Attempt.h"
#include "Core/Requests/AttemptQueue.h"
#include "Core/Requests/BlockedAttemptIds.h"

#include <condition_variable>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace quetzalyoke {

/// \brief The attempts an agent knows, and the bounded queue of those that wait.
///
/// An attempt id is accepted once: a repeated submission finds the first one's attempt, and an
/// id that was refused or forgotten never starts. An attempt that must run alone waits until
/// nothing runs, and nothing else starts beside it.
/// Lock order: the table's lock before an attempt's.
class AttemptTable
{
public:
    struct Limits
    {
        std::size_t queueLength = 0;
        std::size_t bufferBytes = 0;
        std::chrono::milliseconds finishedRetention{};
    };

    AttemptTable(const Limits &limits, std::unique_ptr<AttemptQueue> queue);

    struct Admission
    {
        std::shared_ptr<Attempt> attempt; ///< Nothing where refused.
        wire::ErrorCode::type refusal = wire::ErrorCode::None;
    };

    /// Queues a new attempt, or finds the one with the same id.
    Admission submit(const wire::Submission &submission, Instant now);
    std::shared_ptr<Attempt> find(const std::string &attemptId) const;
    /// Cancels; an attempt that has not started, or not even arrived, never will.
    wire::RunState::type cancel(const std::string &attemptId, Instant now);

    /// Next attempt to run; waits up to \a wait for one.
    std::shared_ptr<Attempt> dequeue(std::chrono::milliseconds wait);
    /// Says that an attempt taken by dequeue() no longer runs.
    void onAttemptEnded(const std::shared_ptr<Attempt> &attempt, Instant now);

    /// Notes a crash of the backend server: every attempt in flight is suspected. Returns the
    /// crash's id; failures shortly after one another belong to one crash.
    std::string recordCrash(Instant now);
    /// Suspicions of recent crashes, for the gateways.
    std::vector<wire::Suspicion> suspicions() const;

    /// From now on takes model requests only for these models and adapters.
    void setAvailableTargets(std::set<std::string> names);
    /// Attempts for a model or adapter that are accepted and not finished.
    std::size_t inFlightCount(const std::string &name) const;
    /// The same for all models that have any.
    std::map<std::string, std::int64_t> inFlightCounts() const;

    /// Refuses new attempts while the backend server is down.
    void setBackendDown(bool down);
    bool isBackendDown() const;
    /// Refuses new attempts from now on.
    void startDraining();
    bool isDraining() const;
    /// Forgets answers that finished longer ago than Limits::finishedRetention. One that was
    /// fetched to its end, and may be repeated, is forgotten after deliveredRetention.
    void removeExpired(Instant now);

    std::size_t queuedCount() const;
    std::size_t runningCount() const;
    /// Whether nothing is queued or running and every answer has been fetched to its end.
    bool isIdle() const;

    /// A reply may have been lost, so the last bytes can be fetched again for a while.
    static constexpr Duration deliveredRetention = std::chrono::seconds(2);

private:
    std::vector<std::shared_ptr<Attempt>> extractExpired(Instant now);
    bool isTargetAvailableLocked(const wire::Submission &submission) const;
    bool canDequeueLocked(Instant now) const;
    bool isRunAloneDueLocked(Instant now) const;
    std::shared_ptr<Attempt> dequeueLocked(Instant now);

    const Limits m_limits;
    mutable std::mutex m_mutex; // of the members below
    std::condition_variable m_available;
    std::unordered_map<std::string, std::shared_ptr<Attempt>> m_attempts;
    std::unique_ptr<AttemptQueue> m_queue;
    std::optional<std::set<std::string>> m_availableTargets; // nothing: everything
    std::deque<std::shared_ptr<Attempt>> m_runAloneQueue; // waiting attempts that must run alone
    std::unordered_map<std::string, std::shared_ptr<Attempt>> m_running;
    bool m_runAloneActive = false;
    Instant m_nextRunAloneAt; // other work runs in between
    std::deque<std::shared_ptr<Attempt>> m_recentlyEnded; // oldest first, not looked at yet
    std::deque<std::shared_ptr<Attempt>> m_retained; // oldest first, kept for finishedRetention
    BlockedAttemptIds m_spent;
    std::deque<wire::Suspicion> m_suspicions; // newest last
    std::int64_t m_crashCount = 0;
    Instant m_lastCrashAt;
    bool m_draining = false;
    bool m_backendDown = false;
};

} // namespace quetzalyoke

#endif
