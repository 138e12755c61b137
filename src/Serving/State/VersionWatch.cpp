#include "Serving/State/VersionWatch.h"

namespace quetzalyoke {

bool covers(const StateVersions &known, const StateVersions &other)
{
    return known.config >= other.config && known.servers >= other.servers;
}

bool VersionWatch::isOverdue(const StateVersions &own, const StateVersions &newest, Instant now)
{
    if (m_expected && covers(own, m_expected->versions))
        m_expected.reset();
    if (!m_expected && !covers(own, newest))
        m_expected = {newest, now};
    if (!m_expected || now - m_expected->since < m_tolerance)
        return false;
    m_expected.reset();
    return true;
}

} // namespace quetzalyoke
