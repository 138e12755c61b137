#ifndef QUETZALYOKE_CORE_ACCOUNTS_SHAREBUCKET_H
#define QUETZALYOKE_CORE_ACCOUNTS_SHAREBUCKET_H

#include "Core/Accounts/ShareRow.h"
#include "Core/StrongTypes.h"

#include <deque>

namespace quetzalyoke {

/// \brief Token bucket for one gateway's share of a client account.
///
/// The bucket starts empty. Tokens lent to another gateway count against the burst until the loan
/// has expired, so that the level and the loans together never exceed the burst of the share.
class ShareBucket
{
public:
    explicit ShareBucket(Instant now);

    /// Sets the share to \a weight of \a rate and \a burst. Tokens above the new burst are
    /// discarded.
    void resize(TokensPerSecond rate, Tokens burst, ShareWeight weight, Instant now);
    void fill(Instant now);

    /// Removes \a n tokens and returns true, or returns false if fewer are available.
    bool tryConsume(Tokens n, Instant now);
    /// Lends up to \a n tokens to another gateway, which must use them within \a lifetime. Returns
    /// the number of tokens lent.
    Tokens lend(Tokens n, Duration lifetime, Instant now);
    Tokens level(Instant now);
    /// Returns the time until \a n tokens are available, or Duration::max() if they exceed the
    /// burst of the share or the rate is zero.
    Duration timeUntilAvailable(Tokens n, Instant now);
    /// Returns the portion of weight() whose burst is not lent.
    ShareWeight unlentWeight(Instant now);
    ShareWeight weight() const { return m_weight; }

private:
    struct Loan
    {
        std::int64_t nanoTokens;
        Instant expiresAt;
    };

    void refill(Instant now);
    void advance(Instant until);
    std::int64_t unlentBurst() const;

    ShareWeight m_weight;
    std::int64_t m_milliRate = 0; // thousandths of a token a second
    std::int64_t m_nanoBurst = 0; // billionths of a token
    std::int64_t m_nanoLevel = 0;
    std::int64_t m_nanoLent = 0;
    std::deque<Loan> m_loans; // by expiry
    Instant m_filledAt;
};

} // namespace quetzalyoke

#endif
