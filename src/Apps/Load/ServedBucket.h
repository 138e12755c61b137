#ifndef QUETZALYOKE_APPS_LOAD_SERVEDBUCKET_H
#define QUETZALYOKE_APPS_LOAD_SERVEDBUCKET_H

#include "Core/StrongTypes.h"

namespace quetzalyoke {

/// \brief An account's rate and burst less what it was served, also where that was too much.
class ServedBucket
{
public:
    ServedBucket(TokensPerSecond rate, Tokens burst);

    /// Whether \a n tokens are there at \a at; times must not fall.
    bool hasRoom(Tokens n, Duration at);
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
