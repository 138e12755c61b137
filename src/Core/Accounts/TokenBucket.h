#ifndef QUETZALYOKE_CORE_ACCOUNTS_TOKENBUCKET_H
#define QUETZALYOKE_CORE_ACCOUNTS_TOKENBUCKET_H

#include "Core/StrongTypes.h"

namespace quetzalyoke {

/// \brief Token bucket with a rate and a burst in tokens, exact to the microsecond.
class TokenBucket
{
public:
    /// Constructs a bucket that is full at \a now.
    TokenBucket(TokensPerSecond rate, Tokens burst, Instant now);

    /// Removes \a n tokens and returns true, or returns false if fewer are available.
    bool tryConsume(Tokens n, Instant now);
    Tokens level(Instant now);
    /// Returns the time until \a n tokens are available, or Duration::max() if they exceed the
    /// burst.
    Duration timeUntilAvailable(Tokens n, Instant now);
    /// Changes the rate and burst. Tokens above the new burst are discarded.
    void resize(TokensPerSecond rate, Tokens burst, Instant now);

private:
    void refill(Instant now);

    TokensPerSecond m_rate;
    Tokens m_burst;
    Instant m_filledAt;
    std::int64_t m_microTokens; // level, in millionths of a token
};

} // namespace quetzalyoke

#endif
