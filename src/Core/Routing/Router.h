#ifndef QUETZALYOKE_CORE_ROUTING_ROUTER_H
#define QUETZALYOKE_CORE_ROUTING_ROUTER_H

#include "Core/Routing/AgentDirectory.h"

#include <functional>
#include <random>
#include <set>
#include <string>

namespace quetzalyoke {

/// \brief What a routing decision depends on.
struct RoutingRequest
{
    std::string target; ///< Model or service.
    std::string adapter; ///< Empty: none.
    ZoneName zone; ///< Of the gateway.
    std::set<InstanceId> excluded; ///< Tried already.
    std::uint64_t promptPrefixHash
        = 0; ///< Hash of the prompt's beginning; see computePromptPrefixHash(). 0: none.
    bool mayLoadAdapter = false; ///< A server with only the base may load the adapter.
};

/// Picks an agent for a request, or nothing where none can take it.
///
/// The agent stays the directory's and is valid until its next change.
using RoutingPolicy = std::function<const AgentDirectory::Candidate *(
    const RoutingRequest &, const AgentDirectory &, Instant now, std::mt19937_64 &)>;

/// Policy named \a name in the settings: "random", "round_robin", "least_loaded",
/// "power_of_two" or "affinity". Throws Error (BadSettings).
RoutingPolicy makeRoutingPolicy(const std::string &name);

/// Hash of the beginning of \a prompt to \a target, for RoutingRequest::prefix.
std::uint64_t computePromptPrefixHash(std::string_view target, std::string_view prompt);

} // namespace quetzalyoke

#endif
