#include "Core/Accounts/ShareBucket.h"

#include <algorithm>

namespace quetzalyoke {

namespace {

constexpr std::int64_t nanoTokensPerToken = 1'000'000'000;
constexpr std::int64_t weightsPerMilliRate = 1000; // fullWeight / 1000 milli-tokens
constexpr std::int64_t maxTokens = 4'000'000'000; // more would overflow nano-tokens
constexpr std::int64_t maxRate = 1'000'000'000;

} // namespace

ShareBucket::ShareBucket(Instant now) : m_filledAt(now) { }

void ShareBucket::resize(TokensPerSecond rate, Tokens burst, ShareWeight weight, Instant now)
{
    refill(now);
    m_weight = weight;
    m_milliRate = std::min(rate.count(), maxRate) * weight.count() / weightsPerMilliRate;
    const std::int64_t tokens = std::min(burst.count(), maxTokens);
    m_nanoBurst = tokens * (nanoTokensPerToken / ShareRow::fullWeight.count()) * weight.count();
    m_nanoLevel
        = std::clamp<std::int64_t>(m_nanoLevel, 0, std::max<std::int64_t>(0, unlentBurst()));
}

void ShareBucket::fill(Instant now)
{
    refill(now);
    m_nanoLevel = std::max<std::int64_t>(0, unlentBurst());
}

bool ShareBucket::tryConsume(Tokens n, Instant now)
{
    refill(now);
    if (n.count() > m_nanoLevel / nanoTokensPerToken)
        return false;
    m_nanoLevel -= n.count() * nanoTokensPerToken;
    return true;
}

Tokens ShareBucket::lend(Tokens n, Duration lifetime, Instant now)
{
    const Tokens granted = std::min(n, level(now));
    if (granted <= Tokens(0))
        return Tokens(0);
    const std::int64_t nanoTokens = granted.count() * nanoTokensPerToken;
    m_nanoLevel -= nanoTokens;
    m_nanoLent += nanoTokens;
    m_loans.push_back({nanoTokens, now + lifetime});
    return granted;
}

ShareWeight ShareBucket::unlentWeight(Instant now)
{
    refill(now);
    if (m_nanoLent == 0)
        return m_weight;
    const std::int64_t burstPerWeight = m_nanoBurst / std::max<std::int64_t>(1, m_weight.count());
    if (burstPerWeight == 0)
        return ShareWeight();
    return ShareWeight(std::max<std::int64_t>(0, unlentBurst() / burstPerWeight));
}

Tokens ShareBucket::level(Instant now)
{
    refill(now);
    return Tokens(m_nanoLevel / nanoTokensPerToken);
}

Duration ShareBucket::timeUntilAvailable(Tokens n, Instant now)
{
    refill(now);
    if (n.count() > m_nanoBurst / nanoTokensPerToken || m_milliRate == 0)
        return Duration::max();
    const std::int64_t missing = n.count() * nanoTokensPerToken - m_nanoLevel;
    if (missing <= 0)
        return Duration::zero();
    // A rate of one milli-token per second adds one nano-token per microsecond.
    return Duration((missing + m_milliRate - 1) / m_milliRate);
}

// The room that an expired loan frees is refilled only from the expiry on, not from earlier.
void ShareBucket::refill(Instant now)
{
    while (!m_loans.empty() && m_loans.front().expiresAt <= now) {
        advance(m_loans.front().expiresAt);
        m_nanoLent -= m_loans.front().nanoTokens;
        m_loans.pop_front();
    }
    advance(now);
}

void ShareBucket::advance(Instant until)
{
    if (until <= m_filledAt)
        return;
    const std::int64_t elapsed = (until - m_filledAt).count();
    m_filledAt = until;
    const std::int64_t missing = unlentBurst() - m_nanoLevel;
    if (m_milliRate == 0 || missing <= 0)
        return;
    const bool fills = elapsed >= missing / m_milliRate + 1;
    m_nanoLevel += fills ? missing : elapsed * m_milliRate;
}

std::int64_t ShareBucket::unlentBurst() const
{
    return m_nanoBurst - m_nanoLent;
}

} // namespace quetzalyoke
