#ifndef QUETZALYOKE_APPS_LOAD_EXPERIMENT_H
#define QUETZALYOKE_APPS_LOAD_EXPERIMENT_H

#include "Core/Configuration/IniDocument.h"
#include "Core/StrongTypes.h"

#include <chrono>
#include <string>
#include <vector>

namespace quetzalyoke {

/// \brief The workload of one client account.
struct AccountWorkload
{
    AccountId name;
    TokensPerSecond rate; ///< As in the service list.
    Tokens burst;
    double requestsPerSecond = 0;
    double serviceCallsPerSecond = 0; ///< Non-idempotent requests to the plain service.
    std::int64_t promptTokens = 0; ///< Mean length after the shared prefix.
    std::int64_t prefixTokens = 0;
    std::int64_t distinctPrefixes = 1; ///< Number of shared prefixes per model or adapter.
    std::int64_t outputTokens = 0; ///< Mean number of response tokens.
};

/// \brief A time window in which the request rate of an account or a model is multiplied.
struct RateMultiplier
{
    std::string name; ///< Account or model.
    Duration from{0};
    Duration until{0};
    double factor = 1;
};

/// \brief An action of the experiment's driver at a given time, for example killing a server.
struct TimedEvent
{
    Duration at{0};
    std::string action;
};

/// \brief An experiment: workload, latency limits and events, read from an INI file.
struct Experiment
{
    std::string name;
    Duration duration{0};
    Duration timeToFirstTokenLimit{0};
    Duration interTokenLatencyLimit{0};
    std::int64_t accelerators = 1; ///< Number that the attained requests are divided by.
    std::int64_t concurrency = 0; ///< Maximum number of requests in flight.
    double zipfExponent = 1;
    std::vector<std::string> targets; ///< Models and adapters, most popular first.
    std::string serviceCallPath; ///< Path at the plain service; empty if it isn't used.
    std::vector<AccountWorkload> accounts;
    std::vector<RateMultiplier> accountMultipliers; ///< Multipliers of accounts.
    std::vector<RateMultiplier> targetMultipliers; ///< Multipliers of models and adapters.
    std::vector<TimedEvent> events;

    static Experiment read(const IniDocument &document, Problems &problems);
};

} // namespace quetzalyoke

#endif
