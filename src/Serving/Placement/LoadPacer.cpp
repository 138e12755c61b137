#include "Serving/Placement/LoadPacer.h"

#include <algorithm>

namespace quetzalyoke {

void LoadPacer::setRate(double loadsPerSecond, double saved, Instant now)
{
    refill(now);
    m_rate = loadsPerSecond;
    m_saved = saved;
    m_level = std::min(m_level, saved);
}

void LoadPacer::refill(Instant now)
{
    if (m_at != Instant() && now > m_at) {
        const double elapsed = inSeconds(now - m_at);
        m_level = std::min(m_saved, m_level + m_rate * elapsed);
    }
    m_at = std::max(m_at, now);
}

bool LoadPacer::has(Instant now)
{
    refill(now);
    return m_level >= 1;
}

bool LoadPacer::take(Instant now)
{
    if (!has(now))
        return false;
    m_level -= 1;
    return true;
}

} // namespace quetzalyoke
