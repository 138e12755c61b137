#ifndef QUETZALYOKE_APPS_LOAD_DEBTTOKENBUCKET_H
#define QUETZALYOKE_APPS_LOAD_DEBTTOKENBUCKET_H

#include "Core/StrongTypes.h"

namespace quetzalyoke {

/// \brief An account's rate and burst less what it was served, also where that was too much.
class DebtTokenBucket
{
public:
    DebtTokenBucket(TokensPerSecond rate, Tokens burst);

    /// Whether \a n tokens are there at \a at; times must not fall.
    bool hasTokens(Tokens n, Duration at);
    /// Takes \a n tokens, into debt where they aren't there.
    void charge(Tokens n, Duration at);

private:
    void refill(Duration at);

    const double m_rate; // tokens a second
    const double m_burst; // tokens
    double m_level; // tokens; below zero: debt
    Duration m_filledAt{0};
};

} // namespace quetzalyoke

#endif
