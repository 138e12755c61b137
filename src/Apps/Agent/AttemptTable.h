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

/// \brief Holds an agent's attempts and the bounded queue of those that have not started.
///
/// An attempt id is accepted once: submitting it again returns the existing attempt, and an id that
/// was refused or removed never starts. An attempt that must run alone waits until no other attempt
/// is running, and no other attempt starts while it runs.
/// Lock order: the table's mutex before an attempt's.
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
        std::shared_ptr<Attempt> attempt; ///< Null if refused.
        wire::ErrorCode::type refusal = wire::ErrorCode::None;
    };

    /// Queues a new attempt, or returns the existing one with the same id.
    Admission submit(const wire::Submission &submission, Instant now);
    /// Returns the attempt with \a attemptId, or null.
    std::shared_ptr<Attempt> find(const std::string &attemptId) const;
    /// Cancels an attempt and returns its run state. An attempt that has not started, or was not
    /// submitted yet, never starts.
    wire::RunState::type cancel(const std::string &attemptId, Instant now);

    /// Returns the next attempt to run, or null if there is none within \a wait.
    std::shared_ptr<Attempt> dequeue(std::chrono::milliseconds wait);
    /// Records that an attempt returned by dequeue() is no longer running.
    void onAttemptEnded(const std::shared_ptr<Attempt> &attempt, Instant now);

    /// Records a crash of the backend server, of which every running attempt is suspected. Returns
    /// the crash's id; failures in quick succession count as one crash.
    std::string recordCrash(Instant now);
    /// Returns the suspicions from recent crashes, for the report to the gateways.
    std::vector<wire::Suspicion> suspicions() const;

    /// Accepts model requests only for the models and adapters in \a names from now on.
    void setAvailableTargets(std::set<std::string> names);
    /// Returns the number of accepted, unfinished attempts for the model or adapter \a name.
    std::size_t inFlightCount(const std::string &name) const;
    /// Returns the number of unfinished attempts of every target that has any.
    std::map<std::string, std::int64_t> inFlightCounts() const;

    /// Sets whether the backend server is down; new attempts are refused while it is.
    void setBackendDown(bool down);
    bool isBackendDown() const;
    /// Refuses new attempts from now on.
    void startDraining();
    bool isDraining() const;
    /// Removes attempts that finished longer ago than Limits::finishedRetention. An idempotent one
    /// whose response was fetched to its end is removed after deliveredRetention already.
    void removeExpired(Instant now);

    std::size_t queuedCount() const;
    std::size_t runningCount() const;
    /// Returns whether no attempt is queued or running and every response was fetched to its end.
    bool isIdle() const;

    /// How long a delivered response can be fetched again, since the last reply may have been lost.
    static constexpr Duration deliveredRetention = std::chrono::seconds(2);

private:
    std::vector<std::shared_ptr<Attempt>> extractExpired(Instant now);
    bool isTargetAvailableLocked(const wire::Submission &submission) const;
    bool canDequeueLocked(Instant now) const;
    bool isRunAloneDueLocked(Instant now) const;
    std::shared_ptr<Attempt> dequeueLocked(Instant now);

    const Limits m_limits;
    mutable std::mutex m_mutex; // guards the members below
    std::condition_variable m_available;
    std::unordered_map<std::string, std::shared_ptr<Attempt>> m_attempts;
    std::unique_ptr<AttemptQueue> m_queue;
    std::optional<std::set<std::string>> m_availableTargets; // unset: all
    std::deque<std::shared_ptr<Attempt>> m_runAloneQueue; // not started yet
    std::unordered_map<std::string, std::shared_ptr<Attempt>> m_running;
    bool m_runAloneActive = false;
    Instant m_nextRunAloneAt; // until then other attempts run
    std::deque<std::shared_ptr<Attempt>> m_recentlyEnded; // oldest first, within deliveredRetention
    std::deque<std::shared_ptr<Attempt>> m_retained; // oldest first, kept for finishedRetention
    BlockedAttemptIds m_usedIds;
    std::deque<wire::Suspicion> m_suspicions; // newest last
    std::int64_t m_crashCount = 0;
    Instant m_lastCrashAt;
    bool m_draining = false;
    bool m_backendDown = false;
};

} // namespace quetzalyoke

#endif
