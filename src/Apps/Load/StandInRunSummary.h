#ifndef QUETZALYOKE_APPS_LOAD_STANDINRUNSUMMARY_H
#define QUETZALYOKE_APPS_LOAD_STANDINRUNSUMMARY_H

#include "Adapters/Address.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace quetzalyoke {

/// \brief What the stand-ins say that they ran.
struct StandInRunSummary
{
    std::map<std::string, std::int64_t> runsByRequest; ///< Of each request id.
    std::int64_t modelLoads = 0;
    std::int64_t adapterLoads = 0;
    std::int64_t overcommittedEngines = 0; ///< Engines that were asked for too much memory.
    std::int64_t unreachableStandIns = 0; ///< Stand-ins that are gone, with their records.

    /// Asks every one of \a standIns for its record, and engines for their loads.
    static StandInRunSummary collect(const std::vector<Address> &standIns);
};

} // namespace quetzalyoke

#endif
