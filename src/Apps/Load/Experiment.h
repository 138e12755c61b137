#ifndef QUETZALYOKE_APPS_LOAD_EXPERIMENT_H
#define QUETZALYOKE_APPS_LOAD_EXPERIMENT_H

#include "Core/Configuration/IniDocument.h"
#include "Core/StrongTypes.h"

#include <chrono>
#include <string>
#include <vector>

namespace quetzalyoke {

/// \brief Demand of one client account.
struct AccountDemand
{
    AccountId name;
    TokensPerSecond rate; ///< As in the service list.
    Tokens burst;
    double requestsPerSecond = 0;
    double bookingsPerSecond = 0; ///< Non-idempotent calls of the plain service.
    std::int64_t promptTokens = 0; ///< After the shared prefix; mean.
    std::int64_t prefixTokens = 0;
    std::int64_t prefixes = 1; ///< Different shared prefixes a model or adapter.
    std::int64_t answerTokens = 0; ///< Mean.
};

/// \brief A window in which an account or a model is asked for several times as often.
struct DemandChange
{
    std::string name; ///< Account or model.
    Duration from{0};
    Duration until{0};
    double times = 1;
};

/// \brief Something that the driver of the experiment does at a time, for example kill a server.
struct TimedEvent
{
    Duration at{0};
    std::string text;
};

/// \brief One experiment: demand, limits and events, read from an INI file.
struct Experiment
{
    std::string name;
    Duration length{0};
    Duration firstTokenLimit{0};
    Duration betweenTokensLimit{0};
    std::int64_t accelerators = 1; ///< That the attainment is divided by.
    std::int64_t callers = 0; ///< Requests in flight at once.
    double zipfExponent = 1;
    std::vector<std::string> targets; ///< Models and adapters, most popular first.
    std::string bookingPath; ///< Of the plain service; empty: none.
    std::vector<AccountDemand> accounts;
    std::vector<DemandChange> bursts; ///< Of accounts.
    std::vector<DemandChange> rises; ///< Of models and adapters.
    std::vector<TimedEvent> events;

    static Experiment read(const IniDocument &document, Problems &problems);
};

} // namespace quetzalyoke

#endif
