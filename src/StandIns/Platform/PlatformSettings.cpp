#include "StandIns/Platform/PlatformSettings.h"

namespace quetzalyoke::standins {

namespace {

constexpr std::int64_t maximumCallsPerSecond = 1'000'000;
constexpr std::int64_t maximumLoads = 100'000;
constexpr std::int64_t maximumTimeScale = 10'000;
constexpr std::int64_t maximumLoadMillis = 600'000;

} // namespace

PlatformSettings PlatformSettings::read(IniSectionReader &reader)
{
    PlatformSettings settings;
    settings.writesPerSecond = reader.number("writes_per_s", 0, maximumCallsPerSecond, 0);
    settings.readsPerSecond = reader.number("reads_per_s", 0, maximumCallsPerSecond, 0);
    settings.modelLoadsPerSecond = reader.number("model_loads_per_s", 0, maximumLoads, 0);
    settings.modelLoadsAtFullSpeed = reader.number("model_loads_at_once", 1, maximumLoads, 8);
    settings.adapterLoadsAtFullSpeed = reader.number("adapter_loads_at_once", 1, maximumLoads, 64);
    settings.modelLoadTime = reader.milliseconds("model_load_ms", 0, maximumLoadMillis, 50);
    settings.adapterLoadTime = reader.milliseconds("adapter_load_ms", 0, maximumLoadMillis, 7);
    settings.timeScale = reader.number("time_scale", 1, maximumTimeScale, 1);
    return settings;
}

} // namespace quetzalyoke::standins
