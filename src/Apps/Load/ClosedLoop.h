#ifndef QUETZALYOKE_APPS_LOAD_CLOSEDLOOP_H
#define QUETZALYOKE_APPS_LOAD_CLOSEDLOOP_H

#include "Adapters/Address.h"

#include <nlohmann/json_fwd.hpp>

#include <chrono>
#include <string>
#include <vector>

namespace quetzalyoke {

/// \brief A load test with a fixed number of callers, each of which sends one request after
/// another.
struct ClosedLoop
{
    std::vector<Address> addresses; ///< Of gateways, or of engines directly.
    std::string key;
    std::string model;
    std::int64_t promptTokens = 0;
    std::int64_t outputTokens = 0;
    int concurrency = 0;
    std::chrono::seconds duration{0};

    /// Runs the load and returns the requests per second, the number of failures, and percentiles
    /// of the time to first token and of the total latency.
    nlohmann::json run() const;
};

} // namespace quetzalyoke

#endif
