#include "Apps/Agent/AttemptTable.h"

#include "Adapters/Process.h"
#include "Adapters/ProcessTimeline.h"

#include <algorithm>

namespace quetzalyoke {

namespace {

constexpr Duration usedIdRetention = std::chrono::hours(1);
constexpr std::size_t maxUsedIds = 200'000;
constexpr Duration runAloneInterval = std::chrono::seconds(1);
// Failures of several attempts within this time count as one crash.
constexpr Duration crashWindow = std::chrono::seconds(2);
constexpr std::size_t maxSuspicions = 1024;

} // namespace

AttemptTable::AttemptTable(const Limits &limits, std::unique_ptr<AttemptQueue> queue)
    : m_limits(limits), m_queue(std::move(queue)), m_usedIds(usedIdRetention, maxUsedIds),
      m_lastCrashAt(Instant::min())
{ }

AttemptTable::Admission AttemptTable::submit(const wire::Submission &submission, Instant now)
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_attempts.find(submission.attemptId);
    if (it != m_attempts.end())
        return {it->second, wire::ErrorCode::None};
    const AttemptId id(submission.attemptId);
    if (m_usedIds.contains(id))
        return {nullptr, wire::ErrorCode::UnknownAttempt};
    // A gateway relies on a refusal also for copies of the submission that arrive later, so a
    // refused id stays blocked.
    m_usedIds.add(id, now);
    if (submission.agentIncarnation != Process::incarnation().count())
        return {nullptr, wire::ErrorCode::AgentRestarted};
    if (m_draining)
        return {nullptr, wire::ErrorCode::Draining};
    if (m_backendDown)
        return {nullptr, wire::ErrorCode::BackendDown};
    if (!isTargetAvailableLocked(submission))
        return {nullptr, wire::ErrorCode::ModelNotReady};
    if (m_queue->size() + m_runAloneQueue.size() >= m_limits.queueLength)
        return {nullptr, wire::ErrorCode::QueueFull};
    auto attempt = std::make_shared<Attempt>(submission, now, m_limits.bufferBytes);
    m_attempts.emplace(submission.attemptId, attempt);
    ProcessTimeline::record(TimelineEventKind::AttemptQueued, RequestId(submission.requestId),
                            "attempt=" + submission.attemptId + " target=" + submission.target);
    if (submission.runAlone) {
        m_runAloneQueue.push_back(attempt);
    } else {
        m_queue->push({id, AccountId(submission.account), submission.priority,
                       Tokens(submission.estimatedTokens), attempt->deadline()});
    }
    m_available.notify_one();
    return {attempt, wire::ErrorCode::None};
}

std::shared_ptr<Attempt> AttemptTable::find(const std::string &attemptId) const
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_attempts.find(attemptId);
    return it == m_attempts.end() ? nullptr : it->second;
}

wire::RunState::type AttemptTable::cancel(const std::string &attemptId, Instant now)
{
    const auto attempt = find(attemptId);
    if (attempt)
        return attempt->cancel();
    const std::lock_guard lock(m_mutex);
    const AttemptId id(attemptId);
    const bool mayHaveRun = m_usedIds.contains(id);
    m_usedIds.add(id, now);
    return mayHaveRun ? wire::RunState::Unknown : wire::RunState::NotRun;
}

std::shared_ptr<Attempt> AttemptTable::dequeue(std::chrono::milliseconds wait)
{
    std::unique_lock lock(m_mutex);
    if (!m_available.wait_for(lock, wait, [this] { return canDequeueLocked(Process::now()); }))
        return nullptr;
    auto attempt = dequeueLocked(Process::now());
    if (attempt)
        m_running.emplace(attempt->submission().attemptId, attempt);
    return attempt;
}

bool AttemptTable::isRunAloneDueLocked(Instant now) const
{
    return !m_runAloneQueue.empty() && now >= m_nextRunAloneAt;
}

bool AttemptTable::canDequeueLocked(Instant now) const
{
    if (m_runAloneActive)
        return false;
    if (isRunAloneDueLocked(now))
        return m_running.empty();
    return m_queue->size() > 0;
}

std::shared_ptr<Attempt> AttemptTable::dequeueLocked(Instant now)
{
    if (isRunAloneDueLocked(now)) {
        auto attempt = m_runAloneQueue.front();
        m_runAloneQueue.pop_front();
        m_runAloneActive = true;
        return attempt;
    }
    const auto next = m_queue->pop(now);
    return next ? m_attempts.at(next->id.text()) : nullptr;
}

void AttemptTable::onAttemptEnded(const std::shared_ptr<Attempt> &attempt, Instant now)
{
    const std::lock_guard lock(m_mutex);
    m_running.erase(attempt->submission().attemptId);
    m_recentlyEnded.push_back(attempt);
    if (attempt->submission().runAlone) {
        m_runAloneActive = false;
        m_nextRunAloneAt = now + runAloneInterval;
    }
    if (m_runAloneActive || !m_runAloneQueue.empty() || attempt->submission().runAlone)
        m_available.notify_all();
}

std::string AttemptTable::recordCrash(Instant now)
{
    const std::lock_guard lock(m_mutex);
    if (m_crashCount == 0 || now - m_lastCrashAt > crashWindow)
        ++m_crashCount;
    m_lastCrashAt = now;
    const std::string incident
        = std::to_string(Process::incarnation().count()) + "/" + std::to_string(m_crashCount);
    for (const auto &[id, attempt] : m_running) {
        wire::Suspicion suspicion;
        suspicion.fingerprint = attempt->submission().fingerprint;
        suspicion.incidents = {incident};
        const auto known = std::find(m_suspicions.begin(), m_suspicions.end(), suspicion);
        if (known == m_suspicions.end())
            m_suspicions.push_back(suspicion);
    }
    while (m_suspicions.size() > maxSuspicions)
        m_suspicions.pop_front();
    return incident;
}

std::vector<wire::Suspicion> AttemptTable::suspicions() const
{
    const std::lock_guard lock(m_mutex);
    return {m_suspicions.begin(), m_suspicions.end()};
}

void AttemptTable::setAvailableTargets(std::set<std::string> names)
{
    const std::lock_guard lock(m_mutex);
    m_availableTargets = std::move(names);
}

bool AttemptTable::isTargetAvailableLocked(const wire::Submission &submission) const
{
    if (!m_availableTargets || !submission.model)
        return true;
    return m_availableTargets->contains(submission.target)
        && (submission.adapter.empty() || m_availableTargets->contains(submission.adapter));
}

std::size_t AttemptTable::inFlightCount(const std::string &name) const
{
    const std::lock_guard lock(m_mutex);
    return static_cast<std::size_t>(
        std::count_if(m_attempts.begin(), m_attempts.end(), [&name](const auto &entry) {
            const wire::Submission &submission = entry.second->submission();
            return (submission.target == name || submission.adapter == name)
                && !entry.second->isFinished();
        }));
}

std::map<std::string, std::int64_t> AttemptTable::inFlightCounts() const
{
    const std::lock_guard lock(m_mutex);
    std::map<std::string, std::int64_t> counts;
    for (const auto &[id, attempt] : m_attempts) {
        if (!attempt->isFinished())
            ++counts[attempt->submission().target];
    }
    return counts;
}

void AttemptTable::setBackendDown(bool down)
{
    const std::lock_guard lock(m_mutex);
    m_backendDown = down;
}

bool AttemptTable::isBackendDown() const
{
    const std::lock_guard lock(m_mutex);
    return m_backendDown;
}

void AttemptTable::startDraining()
{
    const std::lock_guard lock(m_mutex);
    m_draining = true;
}

bool AttemptTable::isDraining() const
{
    const std::lock_guard lock(m_mutex);
    return m_draining;
}

void AttemptTable::removeExpired(Instant now)
{
    // The returned attempts and their buffers are freed here, after the mutex has been released.
    extractExpired(now);
}

std::vector<std::shared_ptr<Attempt>> AttemptTable::extractExpired(Instant now)
{
    std::vector<std::shared_ptr<Attempt>> expired;
    const std::lock_guard lock(m_mutex);
    while (!m_recentlyEnded.empty()
           && m_recentlyEnded.front()->finishedAt() + deliveredRetention <= now) {
        const auto attempt = m_recentlyEnded.front();
        m_recentlyEnded.pop_front();
        const bool canRemove = attempt->isDelivered() && attempt->submission().idempotent;
        if (!canRemove) {
            m_retained.push_back(attempt);
            continue;
        }
        m_attempts.erase(attempt->submission().attemptId);
        expired.push_back(attempt);
    }
    while (!m_retained.empty()
           && m_retained.front()->finishedAt() + m_limits.finishedRetention <= now) {
        m_attempts.erase(m_retained.front()->submission().attemptId);
        expired.push_back(m_retained.front());
        m_retained.pop_front();
    }
    return expired;
}

std::size_t AttemptTable::queuedCount() const
{
    const std::lock_guard lock(m_mutex);
    return m_queue->size() + m_runAloneQueue.size();
}

std::size_t AttemptTable::runningCount() const
{
    const std::lock_guard lock(m_mutex);
    return m_running.size();
}

bool AttemptTable::isIdle() const
{
    const std::lock_guard lock(m_mutex);
    if (m_queue->size() + m_runAloneQueue.size() + m_running.size() > 0)
        return false;
    return std::all_of(m_attempts.begin(), m_attempts.end(),
                       [](const auto &entry) { return entry.second->isDelivered(); });
}

} // namespace quetzalyoke
