#include "Core/State/HybridClock.h"

#include <algorithm>

namespace quetzalyoke {

HybridTime HybridClock::tick(std::int64_t wallMicros)
{
    if (wallMicros > m_last.physicalMicros)
        m_last = {wallMicros, 0};
    else
        ++m_last.logical;
    return m_last;
}

void HybridClock::receive(HybridTime remote)
{
    m_last = std::max(m_last, remote);
}

} // namespace quetzalyoke
