#ifndef QUETZALYOKE_APPS_LOAD_SCHEDULE_H
#define QUETZALYOKE_APPS_LOAD_SCHEDULE_H

#include "Apps/Load/Experiment.h"

#include <cstdint>
#include <string>
#include <vector>

namespace quetzalyoke {

/// \brief A request that is sent at its planned time regardless of the outcomes of earlier ones.
struct PlannedRequest
{
    Duration at{0}; ///< Time since the start of the experiment.
    AccountId account;
    std::string target; ///< Model or adapter; empty for a booking at the plain service.
    std::string prompt; ///< The prompt, or the body of a booking.
    std::int64_t outputTokens = 0;

    bool isServiceCall() const { return target.empty(); }
    /// Returns the JSON body that is sent.
    std::string body() const;
    /// Returns the tokens that the request takes from its account's quota.
    Tokens quotaCost() const;
};

/// Generates all requests of \a experiment, ordered by time. The same \a seed gives the same
/// requests.
std::vector<PlannedRequest> planRequests(const Experiment &experiment, std::uint64_t seed);

} // namespace quetzalyoke

#endif
