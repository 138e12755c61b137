#ifndef QUETZALYOKE_SERVING_PLACEMENT_LOADPACER_H
#define QUETZALYOKE_SERVING_PLACEMENT_LOADPACER_H

#include "Core/StrongTypes.h"

namespace quetzalyoke {

/// \brief Spaces loads so that the weight store's rate holds over every window.
class LoadPacer
{
public:
    /// Starts empty: a predecessor may have spent what was saved up.
    void setRate(double loadsPerSecond, double saved, Instant now);
    /// Whether a load may begin.
    bool has(Instant now);
    /// Takes the right to begin one load. May be kept and used later.
    bool take(Instant now);

private:
    void refill(Instant now);

    double m_rate = 0;
    double m_saved = 0;
    double m_level = 0;
    Instant m_at;
};

} // namespace quetzalyoke

#endif
