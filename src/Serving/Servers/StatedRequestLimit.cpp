#include "Serving/Servers/StatedRequestLimit.h"

namespace quetzalyoke {

bool StatedRequestLimit::isStricter(const std::optional<RequestRate> &limit) const
{
    return limit && (!m_limit || *limit < *m_limit);
}

bool StatedRequestLimit::recordResponse(std::optional<RequestRate> stated, Instant sentAt,
                                        Instant now)
{
    if (stated == m_limit || (!isStricter(stated) && sentAt < m_changedAt))
        return false;
    m_limit = stated;
    m_changedAt = now;
    ++m_version;
    return true;
}

bool StatedRequestLimit::applyPeerLimit(std::optional<RequestRate> limit, std::int64_t version,
                                        Instant now)
{
    if (version < m_version || (version == m_version && !isStricter(limit)))
        return false;
    m_version = version;
    if (limit == m_limit)
        return false;
    m_limit = limit;
    m_changedAt = now;
    return true;
}

} // namespace quetzalyoke
