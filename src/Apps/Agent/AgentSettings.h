#ifndef QUETZALYOKE_APPS_AGENT_AGENTSETTINGS_H
#define QUETZALYOKE_APPS_AGENT_AGENTSETTINGS_H

#include "Adapters/Address.h"
#include "Core/Configuration/IniDocument.h"
#include "Core/StrongTypes.h"

#include <chrono>
#include <string>
#include <vector>

namespace quetzalyoke {

/// \brief Settings of quetzalyoke-agent, read from its `[agent]` section.
struct AgentSettings
{
    InstanceId instance;
    ServerName server; ///< Name of the backend server in the service list.
    ZoneName zone;
    Address thriftListen; ///< Of the Thrift door.
    std::string advertisedAddress; ///< Where gateways reach the door; empty: the address bound.
    Address httpListen; ///< Of /metrics, /healthz and /readyz.
    Address backend;
    bool isEngine = true;
    Megabytes acceleratorMemory;
    bool learnsGateways = true; ///< Reports also to gateways that another one tells of.
    std::vector<std::string> gateways;
    std::string fleetSecret;
    std::string readyFile;
    int concurrency = 0; ///< Attempts that the backend server runs at once.
    int queueLength = 0;
    std::string queuePolicy; ///< Order of waiting attempts; see AttemptQueue.
    int maxConnections = 0;
    std::size_t bufferBytes = 0; ///< Of one answer that its gateway has not fetched yet.
    std::chrono::milliseconds reportInterval{};
    std::chrono::milliseconds enginePollInterval{}; ///< Between two readings of the engine.
    std::chrono::milliseconds maxReportStaleness{}; ///< How far a report's holdings may lie back.
    std::chrono::milliseconds orderResponseTimeout{}; ///< Wait for an order's answer.
    std::chrono::milliseconds orderTimeout{}; ///< An order has taken effect by then or never will.
    std::chrono::milliseconds
        fencingGrantValidity{}; ///< Right to order since the table was read for it.
    std::chrono::milliseconds predecessorWait{}; ///< Before the first order after a restart.
    std::chrono::milliseconds backendTimeout{};
    std::chrono::milliseconds finishedRetention{}; ///< How long a finished answer can be fetched.
    std::chrono::milliseconds drainTimeout{};

    static AgentSettings read(const IniDocument &document, Problems &problems);
};

} // namespace quetzalyoke

#endif
