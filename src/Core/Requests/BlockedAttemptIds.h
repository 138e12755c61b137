#ifndef QUETZALYOKE_CORE_REQUESTS_BLOCKEDATTEMPTIDS_H
#define QUETZALYOKE_CORE_REQUESTS_BLOCKEDATTEMPTIDS_H

#include "Core/StrongTypes.h"

#include <deque>
#include <unordered_set>
#include <utility>

namespace quetzalyoke {

/// \brief Ids of attempts that must no longer start, however late their submission arrives.
class BlockedAttemptIds
{
public:
    /// Keeps each id for \a retention, but at most \a limit ids; the oldest are dropped first.
    BlockedAttemptIds(Duration retention, std::size_t limit)
        : m_retention(retention), m_limit(limit)
    { }

    /// Adds \a id and removes expired ids.
    void add(const AttemptId &id, Instant now)
    {
        if (m_ids.insert(id).second)
            m_order.emplace_back(now, id);
        while (!m_order.empty()
               && (m_order.size() > m_limit || m_order.front().first + m_retention < now)) {
            m_ids.erase(m_order.front().second);
            m_order.pop_front();
        }
    }

    bool contains(const AttemptId &id) const { return m_ids.contains(id); }

private:
    const Duration m_retention;
    const std::size_t m_limit;
    std::unordered_set<AttemptId> m_ids;
    std::deque<std::pair<Instant, AttemptId>> m_order; // oldest first
};

} // namespace quetzalyoke

#endif
