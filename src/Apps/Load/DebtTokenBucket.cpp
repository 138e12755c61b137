#include "Apps/Load/DebtTokenBucket.h"

#include <algorithm>

namespace quetzalyoke {

DebtTokenBucket::DebtTokenBucket(TokensPerSecond rate, Tokens burst)
    : m_rate(static_cast<double>(rate.count())), m_burst(static_cast<double>(burst.count())),
      m_level(m_burst)
{ }

bool DebtTokenBucket::hasTokens(Tokens n, Duration at)
{
    refill(at);
    return m_level >= static_cast<double>(n.count());
}

void DebtTokenBucket::charge(Tokens n, Duration at)
{
    refill(at);
    m_level -= static_cast<double>(n.count());
}

void DebtTokenBucket::refill(Duration at)
{
    const double seconds = std::chrono::duration<double>(at - m_refilledAt).count();
    m_refilledAt = at;
    m_level = std::min(m_burst, m_level + m_rate * seconds);
}

} // namespace quetzalyoke
