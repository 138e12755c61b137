#include "Serving/State/VersionLagDetector.h"

namespace quetzalyoke {

bool isAtLeastAsNew(const StateVersions &known, const StateVersions &other)
{
    return !known.operators.isBehind(other.operators) && !known.servers.isBehind(other.servers)
        && known.configuration >= other.configuration;
}

bool VersionLagDetector::isOverdue(const StateVersions &own, const StateVersions &newest,
                                   Instant now)
{
    if (m_expected && isAtLeastAsNew(own, m_expected->versions))
        m_expected.reset();
    if (!m_expected && !isAtLeastAsNew(own, newest))
        m_expected = {newest, now};
    if (!m_expected || now - m_expected->since < m_tolerance)
        return false;
    m_expected.reset();
    return true;
}

} // namespace quetzalyoke
