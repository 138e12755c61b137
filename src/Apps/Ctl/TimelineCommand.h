#ifndef QUETZALYOKE_APPS_CTL_TIMELINECOMMAND_H
#define QUETZALYOKE_APPS_CTL_TIMELINECOMMAND_H

#include "Apps/Ctl/ExitCode.h"
#include "Apps/Ctl/OperatorClient.h"

#include <cstdint>
#include <ostream>
#include <string>

namespace quetzalyoke {

/// \brief What `quetzalyokectl timeline` asks for.
struct TimelineQuery
{
    std::string requestId; ///< Empty: events of all requests and changes of state.
    std::int64_t limit = 1000; ///< Events of each process.
    bool json = false;
};

/// Prints the events of all processes in causal order, as the named gateways collect them.
/// Processes that gave no answer are named on \a errors.
ExitCode printTimeline(OperatorClient &client, const TimelineQuery &query, std::ostream &out,
                       std::ostream &errors);

} // namespace quetzalyoke

#endif
