#ifndef QUETZALYOKE_SERVING_REQUESTS_RATELIMITER_H
#define QUETZALYOKE_SERVING_REQUESTS_RATELIMITER_H

#include "Core/StrongTypes.h"

namespace quetzalyoke {

/// \brief Token bucket with a rate that may be below one a second: for loads from the weight store
/// and for requests to a server.
class RateLimiter
{
public:
    /// Sets the rate and the number of uses that may follow each other at once after a pause. The
    /// limiter starts empty, since an earlier lease holder may have just used the burst.
    void setRate(double perSecond, double burst, Instant now);
    /// Returns whether a use is available now.
    bool canAcquire(Instant now);
    /// Takes one use, which may be made later; returns false if there is none.
    bool tryAcquire(Instant now);
    /// Takes one use even if there is none; the next ones wait for it.
    void forceAcquire(Instant now);
    /// Takes up to \a uses, a fraction included, but not so many that the next use is available
    /// later than \a maxDelay from now. Returns how many were taken.
    double postpone(double uses, Duration maxDelay, Instant now);
    /// Returns the time until a use is available; Duration::max() if the rate is zero.
    Duration timeUntilAvailable(Instant now);

private:
    void refill(Instant now);

    double m_rate = 0;
    double m_burst = 0;
    double m_available = 0;
    Instant m_refilledAt;
};

} // namespace quetzalyoke

#endif
