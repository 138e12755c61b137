#ifndef QUETZALYOKE_SERVING_PLACEMENT_LOADRATELIMITER_H
#define QUETZALYOKE_SERVING_PLACEMENT_LOADRATELIMITER_H

#include "Core/StrongTypes.h"

namespace quetzalyoke {

/// \brief Token bucket that keeps the loads from the weight store within a rate.
class LoadRateLimiter
{
public:
    /// Sets the rate and the number of loads that may start together after a pause. The limiter
    /// starts empty, since an earlier lease holder may have just used the burst.
    void setRate(double loadsPerSecond, double burst, Instant now);
    /// Returns whether a load may start now.
    bool canStartLoad(Instant now);
    /// Takes the permission to start one load, which may be used later; returns false if there is
    /// none.
    bool tryAcquire(Instant now);

private:
    void refill(Instant now);

    double m_rate = 0;
    double m_burst = 0;
    double m_available = 0;
    Instant m_refilledAt;
};

} // namespace quetzalyoke

#endif
