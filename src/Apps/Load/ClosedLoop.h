#ifndef QUETZALYOKE_APPS_LOAD_CLOSEDLOOP_H
#define QUETZALYOKE_APPS_LOAD_CLOSEDLOOP_H

#include "Adapters/Address.h"

#include <nlohmann/json_fwd.hpp>

#include <chrono>
#include <string>
#include <vector>

namespace quetzalyoke {

/// \brief A fixed number of callers that send one request after another.
struct ClosedLoop
{
    std::vector<Address> addresses; ///< Gateways, or engines directly.
    std::string key;
    std::string model;
    std::int64_t promptTokens = 0;
    std::int64_t outputTokens = 0;
    int concurrency = 0;
    std::chrono::seconds duration{0};

    /// Requests a second, failures, and percentiles of first token and whole answer.
    nlohmann::json run() const;
};

} // namespace quetzalyoke

#endif
