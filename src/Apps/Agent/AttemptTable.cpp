#include "Apps/Agent/AttemptTable.h"

#include "Adapters/Process.h"

#include <algorithm>

namespace quetzalyoke {

AttemptTable::AttemptTable(const Limits &limits, std::unique_ptr<RequestQueue> queue)
    : m_limits(limits), m_queue(std::move(queue))
{ }

AttemptTable::Admission AttemptTable::submit(const wire::Submission &submission, Instant now)
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_attempts.find(submission.attemptId);
    if (it != m_attempts.end())
        return {it->second, wire::ErrorCode::None};
    if (m_draining)
        return {nullptr, wire::ErrorCode::Draining};
    if (!isOfferedLocked(submission))
        return {nullptr, wire::ErrorCode::ModelNotReady};
    if (m_queue->size() >= m_limits.queueLength)
        return {nullptr, wire::ErrorCode::QueueFull};
    auto attempt = std::make_shared<Attempt>(submission, now, m_limits.bufferBytes);
    m_attempts.emplace(submission.attemptId, attempt);
    m_queue->push({AttemptId(submission.attemptId), AccountId(submission.account),
                   submission.priority, Tokens(submission.estimatedTokens), attempt->deadline()});
    m_available.notify_one();
    return {attempt, wire::ErrorCode::None};
}

std::shared_ptr<Attempt> AttemptTable::find(const std::string &attemptId) const
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_attempts.find(attemptId);
    return it == m_attempts.end() ? nullptr : it->second;
}

std::shared_ptr<Attempt> AttemptTable::takeNext(std::chrono::milliseconds wait)
{
    std::unique_lock lock(m_mutex);
    if (!m_available.wait_for(lock, wait, [this] { return m_queue->size() > 0; }))
        return nullptr;
    const auto next = m_queue->pop(Process::now());
    if (!next)
        return nullptr;
    ++m_running;
    return m_attempts.at(next->id.text());
}

void AttemptTable::release()
{
    const std::lock_guard lock(m_mutex);
    --m_running;
}

void AttemptTable::offer(std::set<std::string> names)
{
    const std::lock_guard lock(m_mutex);
    m_offered = std::move(names);
}

bool AttemptTable::isOfferedLocked(const wire::Submission &submission) const
{
    if (!m_offered || !submission.model)
        return true;
    return m_offered->contains(submission.target)
        && (submission.adapter.empty() || m_offered->contains(submission.adapter));
}

std::size_t AttemptTable::inFlight(const std::string &name) const
{
    const std::lock_guard lock(m_mutex);
    return static_cast<std::size_t>(
        std::count_if(m_attempts.begin(), m_attempts.end(), [&name](const auto &entry) {
            const wire::Submission &submission = entry.second->submission();
            return (submission.target == name || submission.adapter == name)
                && !entry.second->isFinished();
        }));
}

void AttemptTable::drain()
{
    const std::lock_guard lock(m_mutex);
    m_draining = true;
}

bool AttemptTable::isDraining() const
{
    const std::lock_guard lock(m_mutex);
    return m_draining;
}

void AttemptTable::expire(Instant now)
{
    const std::lock_guard lock(m_mutex);
    std::erase_if(m_attempts, [this, now](const auto &entry) {
        const Attempt &attempt = *entry.second;
        return attempt.isFinished() && attempt.finishedAt() + m_limits.keepFinished <= now;
    });
}

std::size_t AttemptTable::queued() const
{
    const std::lock_guard lock(m_mutex);
    return m_queue->size();
}

std::size_t AttemptTable::running() const
{
    const std::lock_guard lock(m_mutex);
    return m_running;
}

} // namespace quetzalyoke
