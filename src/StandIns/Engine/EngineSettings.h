#ifndef QUETZALYOKE_STANDINS_ENGINE_ENGINESETTINGS_H
#define QUETZALYOKE_STANDINS_ENGINE_ENGINESETTINGS_H

#include "Adapters/Address.h"
#include "Core/Configuration/IniSectionReader.h"
#include "Core/StrongTypes.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace quetzalyoke::standins {

/// \brief Sizes and speeds of the engine stand-in.
///
/// Durations are those of the modelled engine; scaled() converts them to real time.
struct EngineSettings
{
    Megabytes memory;
    std::chrono::microseconds stepTime{5000}; ///< Duration of a step with an empty batch.
    std::chrono::microseconds stepTimePerSequence{0}; ///< Added to a step by each running sequence.
    std::chrono::microseconds prefillTimePerToken{
        0}; ///< Added to a step by each uncached prompt token.
    std::int64_t prefillTokensPerStep = 0; ///< Prompt tokens processed in one step.
    std::size_t maximumBatchSize = 0; ///< Sequences that run at once; others wait.
    std::size_t cacheBlocks = 0; ///< Capacity of the prefix cache.
    std::chrono::microseconds modelLoadTime{50'000}; ///< Used without a weight store.
    std::chrono::microseconds adapterLoadTime{7000};
    std::chrono::microseconds reportLag{0}; ///< Age of the counts in a load report.
    std::chrono::microseconds cacheEventLag{0}; ///< Age of the newest cache event in a response.
    std::int64_t cacheEventLossInterval = 0; ///< Every n-th cache event is lost; 0: none.
    std::optional<Address> weightStore; ///< If set, weights are loaded from it.
    bool checksFencing = true; ///< Rejects orders with a stale fencing token.
    std::int64_t timeScale = 1; ///< Seconds of the modelled engine per second.

    static EngineSettings read(IniSectionReader &reader);
    std::chrono::microseconds scaled(std::chrono::microseconds duration) const
    {
        return duration / timeScale;
    }
};

} // namespace quetzalyoke::standins

#endif
