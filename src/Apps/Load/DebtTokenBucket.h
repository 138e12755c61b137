#ifndef QUETZALYOKE_APPS_LOAD_DEBTTOKENBUCKET_H
#define QUETZALYOKE_APPS_LOAD_DEBTTOKENBUCKET_H

#include "Core/StrongTypes.h"

namespace quetzalyoke {

/// \brief A token bucket whose level may become negative, for an account that was served more than
/// its rate and burst allow.
class DebtTokenBucket
{
public:
    DebtTokenBucket(TokensPerSecond rate, Tokens burst);

    /// Returns whether \a n tokens are available at time \a at. Times must not decrease.
    bool hasTokens(Tokens n, Duration at);
    /// Takes \a n tokens, going into debt if they aren't available.
    void charge(Tokens n, Duration at);

private:
    void refill(Duration at);

    const double m_rate; // tokens per second
    const double m_burst; // tokens
    double m_level; // tokens; a debt if negative
    Duration m_refilledAt{0};
};

} // namespace quetzalyoke

#endif
