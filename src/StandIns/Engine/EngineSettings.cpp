#include "StandIns/Engine/EngineSettings.h"

namespace quetzalyoke::standins {

EngineSettings EngineSettings::read(IniSectionReader &reader)
{
    EngineSettings settings;
    const auto micros = [&reader](const char *name, std::int64_t maximum, std::int64_t fallback) {
        return std::chrono::microseconds(reader.number(name, 0, maximum, fallback));
    };
    settings.memory = Megabytes(reader.number("memory_mb", 1, 1'000'000, 80'000));
    settings.stepTime = reader.milliseconds("step_ms", 0, 10'000, 5);
    settings.stepTimePerSequence = micros("step_per_sequence_us", 1'000'000, 0);
    settings.prefillTimePerToken = micros("prefill_token_us", 1'000'000, 0);
    settings.prefillTokensPerStep = reader.number("prefill_tokens_per_step", 1, 1'000'000, 2048);
    settings.maximumBatchSize = static_cast<std::size_t>(reader.number("batch", 1, 4096, 64));
    settings.cacheBlocks
        = static_cast<std::size_t>(reader.number("cache_blocks", 0, 1 << 24, 4096));
    settings.modelLoadTime = reader.milliseconds("load_ms", 0, 600'000, 50);
    settings.adapterLoadTime = reader.milliseconds("adapter_load_ms", 0, 60'000, 7);
    settings.reportLag = reader.milliseconds("report_lag_ms", 0, 60'000, 0);
    settings.cacheEventLag = reader.milliseconds("cache_event_lag_ms", 0, 60'000, 0);
    settings.cacheEventLossInterval = reader.number("cache_event_gap", 0, 1'000'000, 0);
    const std::string store = reader.text("weight_store", "");
    if (!store.empty())
        settings.weightStore = Address::parse(store);
    settings.checksFencing = reader.flag("checks_fencing", true);
    settings.timeScale = reader.number("time_scale", 1, 10'000, 1);
    return settings;
}

} // namespace quetzalyoke::standins
