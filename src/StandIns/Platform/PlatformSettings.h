#ifndef QUETZALYOKE_STANDINS_PLATFORM_PLATFORMSETTINGS_H
#define QUETZALYOKE_STANDINS_PLATFORM_PLATFORMSETTINGS_H

#include "Core/Configuration/IniSectionReader.h"

#include <chrono>
#include <cstdint>

namespace quetzalyoke::standins {

/// \brief Limits and load times of the platform stand-in.
struct PlatformSettings
{
    std::int64_t writesPerSecond = 0; ///< Excess writes get status 503; 0: unlimited.
    std::int64_t readsPerSecond = 0;
    std::int64_t modelLoadsPerSecond = 0; ///< Excess loads wait; 0: unlimited.
    std::int64_t modelLoadsAtFullSpeed = 0; ///< With more loads in flight, each takes longer.
    std::int64_t adapterLoadsAtFullSpeed = 0;
    std::chrono::milliseconds modelLoadTime{0};
    std::chrono::milliseconds adapterLoadTime{0};
    std::int64_t timeScale = 1; ///< Simulated seconds of the weight store per second.

    static PlatformSettings read(IniSectionReader &reader);
};

} // namespace quetzalyoke::standins

#endif
