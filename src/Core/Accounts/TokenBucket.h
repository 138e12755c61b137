#ifndef QUETZALYOKE_CORE_ACCOUNTS_TOKENBUCKET_H
#define QUETZALYOKE_CORE_ACCOUNTS_TOKENBUCKET_H

#include "Core/StrongTypes.h"

namespace quetzalyoke {

/// \brief A rate and a burst in tokens, exact to the microsecond.
class TokenBucket
{
public:
    /// Starts full at \a now.
    TokenBucket(TokensPerSecond rate, Tokens burst, Instant now);

    /// Takes \a n tokens if all are there.
    bool tryConsume(Tokens n, Instant now);
    Tokens level(Instant now);
    /// How long until \a n tokens are there; Duration::max() where they exceed the burst.
    Duration timeUntilAvailable(Tokens n, Instant now);
    /// Changes rate and burst; tokens above the new burst are lost.
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
