#ifndef QUETZALYOKE_APPS_LOAD_SCHEDULE_H
#define QUETZALYOKE_APPS_LOAD_SCHEDULE_H

#include "Apps/Load/Experiment.h"

#include <cstdint>
#include <string>
#include <vector>

namespace quetzalyoke {

/// \brief A request that will be sent, whatever became of those before it.
struct PlannedRequest
{
    Duration at{0}; ///< Since the start of the experiment.
    AccountId account;
    std::string target; ///< Model or adapter; empty: a booking.
    std::string prompt; ///< Or the booking's body.
    std::int64_t outputTokens = 0;

    bool isServiceCall() const { return target.empty(); }
    /// JSON body as it is sent.
    std::string body() const;
    /// What the request takes from its account's rate and burst.
    Tokens quotaCost() const;
};

/// All requests of \a experiment in order of time; the same \a seed gives the same ones.
std::vector<PlannedRequest> planRequests(const Experiment &experiment, std::uint64_t seed);

} // namespace quetzalyoke

#endif
