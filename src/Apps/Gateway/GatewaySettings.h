#ifndef QUETZALYOKE_APPS_GATEWAY_GATEWAYSETTINGS_H
#define QUETZALYOKE_APPS_GATEWAY_GATEWAYSETTINGS_H

#include "Adapters/Address.h"
#include "Core/Accounts/SharePlanner.h"
#include "Core/Configuration/IniDocument.h"
#include "Core/State/GatewaySync.h"
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
    Address listen; ///< Thrift, for agents and other gateways.
    bool learnsPeers = true; ///< Calls the others where the table says, not only at peers.
    std::vector<std::string>
        peers; ///< Thrift addresses to find other gateways by without the table.
    std::string platform; ///< host:port
    std::string fleetSecret;
    std::string operatorSecret;
    std::string readyFile;
    int connections = 0; ///< Of callers at once.
    int doorConnections = 0; ///< Of agents and gateways at once.
    std::size_t bodyBytes = 0;
    std::chrono::milliseconds pollInterval{}; ///< Of the table.
    bool dynamicPlacement = true; ///< Or the static floor plan.
    std::size_t planShards = 0; ///< Rows that the plan is kept in; the same at all gateways.
    std::size_t planLoads = 0; ///< Extra copies on their way to ready at once.
    std::chrono::milliseconds planInterval{}; ///< Between two looks at the plan in the table.
    std::chrono::milliseconds instanceListInterval{}; ///< Between reads of the instance list.
    std::chrono::milliseconds planLease{}; ///< An unchanged lease row this old may be taken over.
    std::chrono::milliseconds platformTimeout{};
    std::chrono::milliseconds freshness{}; ///< Keyed traffic needs state no older than this.
    std::chrono::milliseconds memberInterval{}; ///< Between heartbeats in the table.
    std::chrono::milliseconds outageTolerance{}; ///< Of serving while the table is out.
    SharePolicy sharePolicy = SharePolicy::Demand;
    std::chrono::milliseconds agentSilence{}; ///< Then an agent gets no new work.
    std::chrono::milliseconds defaultDeadline{};
    std::chrono::milliseconds stopGrace{}; ///< Served on after a stop was asked for.
    std::chrono::milliseconds drainLimit{};
    std::string routingPolicy = "affinity"; ///< See routingPolicy().

    /// The durations that the promises about shared state rest on.
    SyncLimits syncLimits() const;
    static GatewaySettings read(const IniDocument &document, Problems &problems);
};

} // namespace quetzalyoke

#endif
