#ifndef QUETZALYOKE_APPS_LOAD_EXPERIMENT_H
#define QUETZALYOKE_APPS_LOAD_EXPERIMENT_H

#include "Core/Configuration/IniDocument.h"
#include "Core/StrongTypes.h"

#include <chrono>
#include <string>
#include <vector>

namespace quetzalyoke {

/// \brief Demand of one client account.
struct AccountWorkload
{
    AccountId name;
    TokensPerSecond rate; ///< As in the service list.
    Tokens burst;
    double requestsPerSecond = 0;
    double serviceCallsPerSecond = 0; ///< Non-idempotent calls of the plain service.
    std::int64_t promptTokens = 0; ///< After the shared prefix; mean.
    std::int64_t prefixTokens = 0;
    std::int64_t distinctPrefixes = 1; ///< Different shared prefixes a model or adapter.
    std::int64_t outputTokens = 0; ///< Mean.
};

/// \brief A window in which an account or a model is asked for several times as often.
struct RateMultiplier
{
    std::string name; ///< Account or model.
    Duration from{0};
    Duration until{0};
    double factor = 1;
};

/// \brief Something that the driver of the experiment does at a time, for example kill a server.
struct TimedEvent
{
    Duration at{0};
    std::string action;
};

/// \brief One experiment: demand, limits and events, read from an INI file.
struct Experiment
{
    std::string name;
    Duration duration{0};
    Duration timeToFirstTokenLimit{0};
    Duration interTokenLatencyLimit{0};
    std::int64_t accelerators = 1; ///< That the attainment is divided by.
    std::int64_t concurrency = 0; ///< Requests in flight at once.
    double zipfExponent = 1;
    std::vector<std::string> targets; ///< Models and adapters, most popular first.
    std::string serviceCallPath; ///< Of the plain service; empty: none.
    std::vector<AccountWorkload> accounts;
    std::vector<RateMultiplier> accountMultipliers; ///< Of accounts.
    std::vector<RateMultiplier> targetMultipliers; ///< Of models and adapters.
    std::vector<TimedEvent> events;

    static Experiment read(const IniDocument &document, Problems &problems);
};

} // namespace quetzalyoke

#endif
