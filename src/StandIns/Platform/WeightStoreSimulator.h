#ifndef QUETZALYOKE_STANDINS_PLATFORM_WEIGHTSTORESIMULATOR_H
#define QUETZALYOKE_STANDINS_PLATFORM_WEIGHTSTORESIMULATOR_H

#include "Core/StrongTypes.h"
#include "StandIns/Platform/PlatformSettings.h"

namespace quetzalyoke::standins {

/// \brief Computes how long each load from a rate-limited weight store takes. Not thread-safe.
class WeightStoreSimulator
{
public:
    enum class Kind { Model, Adapter };

    explicit WeightStoreSimulator(const PlatformSettings &settings) : m_settings(settings) { }

    /// Begins a load at \a now. Returns the real time until it ends, with the time scale applied.
    Duration beginLoad(Kind kind, Instant now);
    void endLoad(Kind kind);

private:
    /// Reserves the next start of a model load. Returns the wait from \a now that the rate limit
    /// imposes.
    Duration queueingDelay(Instant now);

    const PlatformSettings m_settings;
    Instant m_nextStart{};
    std::int64_t m_modelLoads = 0; // loads in flight
    std::int64_t m_adapterLoads = 0;
};

} // namespace quetzalyoke::standins

#endif
