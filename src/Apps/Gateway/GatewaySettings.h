#ifndef QUETZALYOKE_APPS_GATEWAY_GATEWAYSETTINGS_H
#define QUETZALYOKE_APPS_GATEWAY_GATEWAYSETTINGS_H

#include "Adapters/Address.h"
#include "Core/Accounts/SharePlanner.h"
#include "Core/Configuration/IniDocument.h"
#include "Core/State/ClusterView.h"
#include "Core/StrongTypes.h"

#include <chrono>
#include <string>
#include <vector>

namespace quetzalyoke {

/// \brief Settings of quetzalyoke-gateway, read from its `[gateway]` section.
struct GatewaySettings
{
    InstanceId instance;
    ZoneName zone;
    Address httpListen; ///< For callers, operators and health.
    Address thriftListen; ///< Thrift, for agents and other gateways.
    bool discoversPeers = true; ///< Calls the others where the table says, not only at peers.
    std::vector<std::string>
        peerAddresses; ///< Thrift addresses to find other gateways by without the table.
    std::string platformAddress; ///< host:port
    std::string fleetSecret;
    std::string operatorSecret;
    std::string readyFile;
    int maxCallerConnections = 0; ///< Of callers at once.
    int maxThriftConnections = 0; ///< Of agents and gateways at once.
    std::size_t maxBodyBytes = 0;
    std::chrono::milliseconds tablePollInterval{}; ///< Of the table.
    bool dynamicPlacement = true; ///< Or the static floor plan.
    std::size_t planShards = 0; ///< Rows that the plan is kept in; the same at all gateways.
    std::size_t maxConcurrentLoads = 0; ///< Extra copies on their way to ready at once.
    std::chrono::milliseconds planInterval{}; ///< Between two looks at the plan in the table.
    std::chrono::milliseconds instanceListInterval{}; ///< Between reads of the instance list.
    std::chrono::milliseconds
        planLeaseDuration{}; ///< An unchanged lease row this old may be taken over.
    std::chrono::milliseconds platformTimeout{};
    std::chrono::milliseconds freshness{}; ///< Keyed traffic needs state no older than this.
    std::chrono::milliseconds heartbeatInterval{}; ///< Between heartbeats in the table.
    std::chrono::milliseconds outageTolerance{}; ///< Of serving while the table is out.
    SharePolicy sharePolicy = SharePolicy::Demand;
    std::chrono::milliseconds agentSilenceTimeout{}; ///< Then an agent gets no new work.
    std::chrono::milliseconds defaultDeadline{};
    std::chrono::milliseconds shutdownDelay{}; ///< Served on after a stop was asked for.
    std::chrono::milliseconds drainTimeout{};
    std::string routingPolicy = "affinity"; ///< See routingPolicy().

    /// The durations that the promises about shared state rest on.
    ConsistencyTimeouts syncLimits() const;
    static GatewaySettings read(const IniDocument &document, Problems &problems);
};

} // namespace quetzalyoke

#endif
