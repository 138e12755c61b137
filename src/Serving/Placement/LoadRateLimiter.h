#ifndef QUETZALYOKE_SERVING_PLACEMENT_LOADRATELIMITER_H
#define QUETZALYOKE_SERVING_PLACEMENT_LOADRATELIMITER_H

#include "Core/StrongTypes.h"

namespace quetzalyoke {

/// \brief Spaces loads so that the weight store's rate holds over every window.
class LoadRateLimiter
{
public:
    /// Starts empty: a predecessor may have spent what was saved up.
    void setRate(double loadsPerSecond, double saved, Instant now);
    /// Whether a load may begin.
    bool canStartLoad(Instant now);
    /// Takes the right to begin one load. May be kept and used later.
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
