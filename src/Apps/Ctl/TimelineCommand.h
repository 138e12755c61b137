#ifndef QUETZALYOKE_APPS_CTL_TIMELINECOMMAND_H
#define QUETZALYOKE_APPS_CTL_TIMELINECOMMAND_H

#include "Apps/Ctl/ExitCode.h"
#include "Apps/Ctl/OperatorClient.h"

#include <cstdint>
#include <ostream>
#include <string>

namespace quetzalyoke {

/// \brief The options of `quetzalyokectl timeline`.
struct TimelineQuery
{
    std::string requestId; ///< If empty: events of all requests and all state changes.
    std::int64_t limit = 1000; ///< Maximum number of events of each process.
    bool json = false;
};

/// Prints the events of all processes in causal order, as collected by the named gateways.
/// Processes that did not respond are listed on \a errors.
ExitCode printTimeline(OperatorClient &client, const TimelineQuery &query, std::ostream &out,
                       std::ostream &errors);

} // namespace quetzalyoke

#endif
