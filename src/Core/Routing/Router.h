#ifndef QUETZALYOKE_CORE_ROUTING_ROUTER_H
#define QUETZALYOKE_CORE_ROUTING_ROUTER_H

#include "Core/Routing/AgentDirectory.h"

#include <functional>
#include <random>
#include <set>
#include <string>

namespace quetzalyoke {

/// \brief The properties of a request that a routing decision depends on.
struct RoutingRequest
{
    std::string target; ///< Model or service.
    std::string adapter; ///< Empty if none.
    ZoneName zone; ///< Zone of the gateway.
    std::set<InstanceId> excluded; ///< Instances already tried.
    std::uint64_t promptPrefixHash = 0; ///< See computePromptPrefixHash(). 0 if none.
    bool mayLoadAdapter = false; ///< A server with only the base model may load it.
};

/// Picks an agent for a request. Returns null if no agent can take it.
///
/// The directory owns the agent; the pointer is valid until the directory changes.
using RoutingPolicy = std::function<const AgentDirectory::Candidate *(
    const RoutingRequest &, const AgentDirectory &, Instant now, std::mt19937_64 &)>;

/// Returns the policy called \a name in the settings: "random", "round_robin", "least_loaded",
/// "power_of_two" or "affinity". Throws Error (BadSettings) for any other name.
RoutingPolicy makeRoutingPolicy(const std::string &name);

/// Returns the hash of \a target and the first 256 bytes of \a prompt, for
/// RoutingRequest::promptPrefixHash.
std::uint64_t computePromptPrefixHash(std::string_view target, std::string_view prompt);

} // namespace quetzalyoke

#endif
