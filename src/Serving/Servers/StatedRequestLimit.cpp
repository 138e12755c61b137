#include "Serving/Servers/StatedRequestLimit.h"

namespace quetzalyoke {

namespace {

// A limit that falls below this share of the last one is like one that begins.
constexpr double muchLowerShare = 0.5;

} // namespace

bool StatedRequestLimit::isStricter(const std::optional<RequestRate> &limit) const
{
    return limit && (!m_limit || *limit < *m_limit);
}

bool StatedRequestLimit::recordResponse(std::optional<RequestRate> stated, Instant sentAt,
                                        Instant now)
{
    if (stated == m_limit || (!isStricter(stated) && sentAt < m_changedAt))
        return false;
    setLimit(stated, now);
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
    setLimit(limit, now);
    return true;
}

void StatedRequestLimit::setLimit(std::optional<RequestRate> limit, Instant now)
{
    const bool isMuchLower
        = limit && (!m_limit || limit->perSecond() < m_limit->perSecond() * muchLowerShare);
    if (isMuchLower)
        m_beganAt = now;
    m_limit = limit;
    m_changedAt = now;
}

} // namespace quetzalyoke
