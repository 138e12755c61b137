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
    Address httpListen; ///< Serves callers, operators and health checks over HTTP.
    Address thriftListen; ///< Serves agents and other gateways over Thrift.
    bool discoversPeers = true; ///< Calls peers at the addresses in the table.
    std::vector<std::string>
        peerAddresses; ///< Thrift addresses for finding other gateways without the table.
    std::string platformAddress; ///< host:port
    std::string fleetSecret;
    std::string operatorSecret;
    std::string readyFile;
    int maxCallerConnections = 0; ///< Concurrent connections of callers.
    int maxThriftConnections = 0; ///< Concurrent connections of agents and gateways.
    std::size_t maxBodyBytes = 0;
    std::chrono::milliseconds tablePollInterval{}; ///< Between reads of the table.
    bool dynamicPlacement = true; ///< If false, the static minimum placement is used.
    std::size_t planShards = 0; ///< Rows that hold the plan; must be the same at all gateways.
    std::size_t maxConcurrentLoads = 0; ///< Additional replicas loading at the same time.
    std::chrono::milliseconds planInterval{}; ///< Between reads of the plan in the table.
    std::chrono::milliseconds instanceListInterval{}; ///< Between reads of the instance list.
    std::chrono::milliseconds
        planLeaseDuration{}; ///< An unchanged lease row this old may be taken over.
    std::chrono::milliseconds platformTimeout{};
    std::chrono::milliseconds
        freshness{}; ///< Maximum age of the state that keyed requests are served on.
    std::chrono::milliseconds
        heartbeatInterval{}; ///< Between writes of the heartbeat to the table.
    std::chrono::milliseconds
        outageTolerance{}; ///< How long requests are served while the table is unavailable.
    SharePolicy sharePolicy = SharePolicy::Demand;
    std::chrono::milliseconds
        agentSilenceTimeout{}; ///< An agent silent for longer gets no new requests.
    std::chrono::milliseconds defaultDeadline{};
    std::chrono::milliseconds
        shutdownDelay{}; ///< Requests are still served for this long after a stop request.
    std::chrono::milliseconds drainTimeout{};
    std::string routingPolicy = "affinity"; ///< See routingPolicy().

    /// Returns the timeouts on which the consistency guarantees of the shared state depend.
    ConsistencyTimeouts syncLimits() const;
    static GatewaySettings read(const IniDocument &document, Problems &problems);
};

} // namespace quetzalyoke

#endif
