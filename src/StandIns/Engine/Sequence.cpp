#include "StandIns/Engine/Sequence.h"

namespace quetzalyoke::standins {

std::int64_t Sequence::waitForTokens(std::int64_t sent, std::chrono::milliseconds wait)
{
    std::unique_lock lock(m_mutex);
    m_changed.wait_for(lock, wait, [&] { return m_outputTokens > sent || m_cancelled; });
    return m_outputTokens;
}

void Sequence::addToken()
{
    const std::lock_guard lock(m_mutex);
    ++m_outputTokens;
    m_changed.notify_all();
}

void Sequence::cancel()
{
    const std::lock_guard lock(m_mutex);
    m_cancelled = true;
    m_changed.notify_all();
}

bool Sequence::isCancelled() const
{
    const std::lock_guard lock(m_mutex);
    return m_cancelled;
}

bool Sequence::isComplete() const
{
    const std::lock_guard lock(m_mutex);
    return m_outputTokens >= m_endToken;
}

std::int64_t Sequence::outputTokens() const
{
    const std::lock_guard lock(m_mutex);
    return m_outputTokens;
}

} // namespace quetzalyoke::standins
