#ifndef QUETZALYOKE_STANDINS_PLATFORM_WEIGHTSTORESIMULATOR_H
#define QUETZALYOKE_STANDINS_PLATFORM_WEIGHTSTORESIMULATOR_H

#include "Core/StrongTypes.h"
#include "StandIns/Platform/PlatformSettings.h"

namespace quetzalyoke::standins {

/// \brief Decides how long each load from the rate-limited weight store takes.
class WeightStoreSimulator
{
public:
    enum class Kind { Model, Adapter };

    explicit WeightStoreSimulator(const PlatformSettings &settings) : m_settings(settings) { }

    /// Begins a load at \a now; the time until its end, on this machine's clock.
    Duration beginLoad(Kind kind, Instant now);
    void endLoad(Kind kind);

private:
    /// How long a model load waits for its turn.
    Duration queueingDelay(Instant now);

    const PlatformSettings m_settings;
    Instant m_nextTurn{};
    std::int64_t m_models = 0; // in flight
    std::int64_t m_adapters = 0;
};

} // namespace quetzalyoke::standins

#endif
