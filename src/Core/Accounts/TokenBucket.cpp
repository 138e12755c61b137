#include "Core/Accounts/TokenBucket.h"

#include <algorithm>

namespace quetzalyoke {

namespace {

constexpr std::int64_t microTokensPerToken = 1'000'000;

} // namespace

TokenBucket::TokenBucket(TokensPerSecond rate, Tokens burst, Instant now)
    : m_rate(rate), m_burst(burst), m_filledAt(now),
      m_microTokens(burst.count() * microTokensPerToken)
{ }

bool TokenBucket::tryConsume(Tokens n, Instant now)
{
    refill(now);
    const std::int64_t needed = n.count() * microTokensPerToken;
    if (m_microTokens < needed)
        return false;
    m_microTokens -= needed;
    return true;
}

Tokens TokenBucket::level(Instant now)
{
    refill(now);
    return Tokens(m_microTokens / microTokensPerToken);
}

Duration TokenBucket::timeUntilAvailable(Tokens n, Instant now)
{
    refill(now);
    const std::int64_t missing = n.count() * microTokensPerToken - m_microTokens;
    if (missing <= 0)
        return Duration::zero();
    if (n > m_burst || m_rate.count() == 0)
        return Duration::max();
    // A rate of one token per second adds one micro-token per microsecond.
    return Duration((missing + m_rate.count() - 1) / m_rate.count());
}

void TokenBucket::resize(TokensPerSecond rate, Tokens burst, Instant now)
{
    refill(now);
    m_rate = rate;
    m_burst = burst;
    m_microTokens = std::min(m_microTokens, burst.count() * microTokensPerToken);
}

void TokenBucket::refill(Instant now)
{
    if (now <= m_filledAt)
        return;
    const std::int64_t fullLevel = m_burst.count() * microTokensPerToken;
    const std::int64_t elapsed = (now - m_filledAt).count();
    m_filledAt = now;
    if (m_rate.count() == 0)
        return;
    const std::int64_t microsUntilFull = (fullLevel - m_microTokens) / m_rate.count() + 1;
    m_microTokens
        = elapsed >= microsUntilFull ? fullLevel : m_microTokens + elapsed * m_rate.count();
}

} // namespace quetzalyoke
