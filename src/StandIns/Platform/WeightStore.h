#ifndef QUETZALYOKE_STANDINS_PLATFORM_WEIGHTSTORE_H
#define QUETZALYOKE_STANDINS_PLATFORM_WEIGHTSTORE_H

#include "Core/StrongTypes.h"
#include "StandIns/Platform/PlatformSettings.h"

namespace quetzalyoke::standins {

/// \brief Decides how long each load from the rate-limited weight store takes.
class WeightStore
{
public:
    enum class Kind { Model, Adapter };

    explicit WeightStore(const PlatformSettings &settings) : m_settings(settings) { }

    /// Begins a load at \a now; the time until its end, on this machine's clock.
    Duration begin(Kind kind, Instant now);
    void end(Kind kind);

private:
    /// How long a model load waits for its turn.
    Duration waitForTurn(Instant now);

    const PlatformSettings m_settings;
    Instant m_nextTurn{};
    std::int64_t m_models = 0; // in flight
    std::int64_t m_adapters = 0;
};

} // namespace quetzalyoke::standins

#endif
