#include "Apps/Agent/AttemptTable.h"

namespace quetzalyoke {

AttemptTable::AttemptTable(const Limits &limits) : m_limits(limits) { }

AttemptTable::Admission AttemptTable::submit(const wire::Submission &submission, Instant now)
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_attempts.find(submission.attemptId);
    if (it != m_attempts.end())
        return {it->second, wire::ErrorCode::None};
    if (m_draining)
        return {nullptr, wire::ErrorCode::Draining};
    if (m_queue.size() >= m_limits.queueLength)
        return {nullptr, wire::ErrorCode::QueueFull};
    auto attempt = std::make_shared<Attempt>(submission, now, m_limits.bufferBytes);
    m_attempts.emplace(submission.attemptId, attempt);
    m_queue.push_back(attempt);
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
    if (!m_available.wait_for(lock, wait, [this] { return !m_queue.empty(); }))
        return nullptr;
    auto attempt = m_queue.front();
    m_queue.pop_front();
    ++m_running;
    return attempt;
}

void AttemptTable::release()
{
    const std::lock_guard lock(m_mutex);
    --m_running;
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
    return m_queue.size();
}

std::size_t AttemptTable::running() const
{
    const std::lock_guard lock(m_mutex);
    return m_running;
}

} // namespace quetzalyoke
