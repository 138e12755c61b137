#ifndef QUETZALYOKE_APPS_LOAD_STANDINRUNSUMMARY_H
#define QUETZALYOKE_APPS_LOAD_STANDINRUNSUMMARY_H

#include "Adapters/Address.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace quetzalyoke {

/// \brief What the stand-ins ran, according to their records.
struct StandInRunSummary
{
    std::map<std::string, std::int64_t> runsByRequest; ///< Number of runs of each request id.
    std::int64_t modelLoads = 0;
    std::int64_t adapterLoads = 0;
    std::int64_t overcommittedEngines
        = 0; ///< Engines ordered to load more than their memory holds.
    std::int64_t unreachableStandIns = 0; ///< Stand-ins whose records couldn't be read.

    /// Reads the record of each of \a standIns, and the number of loads of engines.
    static StandInRunSummary collect(const std::vector<Address> &standIns);
};

} // namespace quetzalyoke

#endif
