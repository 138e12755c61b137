#ifndef QUETZALYOKE_CORE_ACCOUNTS_SHAREBUCKET_H
#define QUETZALYOKE_CORE_ACCOUNTS_SHAREBUCKET_H

#include "Core/Accounts/ShareRow.h"
#include "Core/StrongTypes.h"

#include <deque>

namespace quetzalyoke {

/// \brief Token bucket of one gateway's part of a client account.
///
/// Starts empty. Tokens lent to another gateway count against the burst until the loan has
/// expired, so that the level and the loans together never exceed the part's burst.
class ShareBucket
{
public:
    explicit ShareBucket(Instant now);

    /// Sets the part: \a weight of \a rate and \a burst. Tokens above the new burst are lost.
    void resize(TokensPerSecond rate, Tokens burst, ShareWeight weight, Instant now);
    void fill(Instant now);

    /// Takes \a n tokens if all are there.
    bool tryConsume(Tokens n, Instant now);
    /// Takes up to \a n tokens for another gateway, which must use them within \a loanLife.
    Tokens lend(Tokens n, Duration loanLife, Instant now);
    Tokens level(Instant now);
    /// How long until \a n tokens are there; Duration::max() where they exceed the part's burst.
    Duration timeUntilAvailable(Tokens n, Instant now);
    /// The part of weight() whose burst is not lent.
    ShareWeight unlentWeight(Instant now);
    ShareWeight weight() const { return m_weight; }

private:
    struct Loan
    {
        std::int64_t nanoTokens;
        Instant expiresAt;
    };

    void refill(Instant now);
    void advance(Instant to);
    std::int64_t unlentBurst() const;

    ShareWeight m_weight;
    std::int64_t m_milliRate = 0; // thousandths of a token a second
    std::int64_t m_nanoBurst = 0; // billionths of a token
    std::int64_t m_nanoLevel = 0;
    std::int64_t m_nanoLent = 0;
    std::deque<Loan> m_loans; // in order of their end
    Instant m_filledAt;
};

} // namespace quetzalyoke

#endif
