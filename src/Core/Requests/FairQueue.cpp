#include "Core/Requests/FairQueue.h"

#include <algorithm>

namespace quetzalyoke {

void FairQueue::push(const QueuedAttempt &attempt)
{
    PriorityLevel &level = m_levels[attempt.priority];
    std::int64_t &finishTime = level.finishTimes[attempt.account];
    const std::int64_t startTime = std::max(level.virtualTime, finishTime);
    finishTime = startTime + std::max<std::int64_t>(1, attempt.estimatedTokens.count());
    level.waiting.insert({startTime, ++m_arrivalCount, attempt});
    ++m_size;
}

std::optional<QueuedAttempt> FairQueue::pop(Instant)
{
    if (m_levels.empty())
        return std::nullopt;
    const auto level = m_levels.begin();
    const auto first = level->second.waiting.begin();
    const QueuedAttempt attempt = first->attempt;
    const std::int64_t now = first->startTime;
    level->second.virtualTime = now;
    level->second.waiting.erase(first);
    --m_size;
    // A finish time that has passed affects no start time; its removal keeps the map small.
    if (level->second.waiting.empty())
        m_levels.erase(level);
    else
        std::erase_if(level->second.finishTimes,
                      [now](const auto &it) { return it.second <= now; });
    return attempt;
}

} // namespace quetzalyoke
