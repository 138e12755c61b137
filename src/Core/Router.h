#ifndef QUETZALYOKE_CORE_ROUTER_H
#define QUETZALYOKE_CORE_ROUTER_H

#include "Core/AgentDirectory.h"

#include <functional>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace quetzalyoke {

/// \brief What a routing decision depends on.
struct RoutingRequest
{
    std::string target; ///< Model or service.
    std::string adapter; ///< Empty: none.
    ZoneName zone; ///< Of the gateway.
    std::set<InstanceId> excluded; ///< Tried already.
};

/// Picks one of the candidates, or nothing where there is none.
using RoutingPolicy = std::function<std::optional<AgentDirectory::Candidate>(
    const RoutingRequest &, const std::vector<AgentDirectory::Candidate> &, std::mt19937_64 &)>;

/// \brief Routing by the lesser load of two random candidates, own zone first.
RoutingPolicy powerOfTwoChoices();

} // namespace quetzalyoke

#endif
