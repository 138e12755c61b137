#ifndef QUETZALYOKE_APPS_LOAD_RUNRECORD_H
#define QUETZALYOKE_APPS_LOAD_RUNRECORD_H

#include "Adapters/Address.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace quetzalyoke {

/// \brief What the stand-ins say that they ran.
struct RunRecord
{
    std::map<std::string, std::int64_t> runs; ///< Of each request id.
    std::int64_t modelLoads = 0;
    std::int64_t adapterLoads = 0;
    std::int64_t overcommitted = 0; ///< Engines that were asked for too much memory.
    std::int64_t unreachable = 0; ///< Stand-ins that are gone, with their records.

    /// Asks every one of \a standIns for its record, and engines for their loads.
    static RunRecord collect(const std::vector<Address> &standIns);
};

} // namespace quetzalyoke

#endif
