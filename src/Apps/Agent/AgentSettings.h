#ifndef QUETZALYOKE_APPS_AGENT_AGENTSETTINGS_H
#define QUETZALYOKE_APPS_AGENT_AGENTSETTINGS_H

#include "Adapters/Address.h"
#include "Core/Configuration/IniDocument.h"
#include "Core/StrongTypes.h"

#include <chrono>
#include <string>
#include <vector>

namespace quetzalyoke {

/// \brief The settings of quetzalyoke-agent, read from the `[agent]` section of its file.
struct AgentSettings
{
    InstanceId instance;
    ServerName server; ///< Name of the backend server in the service list.
    ZoneName zone;
    Address thriftListen; ///< Where the Thrift server listens.
    std::string advertisedAddress; ///< Thrift address for gateways; empty: the bound address.
    Address httpListen; ///< Serves /metrics, /healthz and /readyz.
    Address backend;
    bool isEngine = true;
    Megabytes acceleratorMemory;
    bool learnsGateways = true; ///< Also reports to gateways listed in replies.
    std::vector<std::string> gateways;
    std::string fleetSecret;
    std::string readyFile;
    int concurrency = 0; ///< Attempts that run at once on the backend server.
    int queueLength = 0;
    std::string queuePolicy; ///< Order of queued attempts; see AttemptQueue.
    int maxConnections = 0;
    std::size_t bufferBytes = 0; ///< Limit for one response's unfetched bytes.
    std::chrono::milliseconds reportInterval{};
    std::chrono::milliseconds enginePollInterval{}; ///< Between two reads of the engine's report.
    std::chrono::milliseconds maxReportStaleness{}; ///< Maximum age of an engine report.
    std::chrono::milliseconds orderResponseTimeout{}; ///< Timeout for the response to an order.
    std::chrono::milliseconds orderTimeout{}; ///< An order takes effect within it or never.
    std::chrono::milliseconds
        fencingGrantValidity{}; ///< Counted from the table read behind the grant.
    std::chrono::milliseconds predecessorWait{}; ///< Wait before the first order after a restart.
    std::chrono::milliseconds backendTimeout{};
    std::chrono::milliseconds
        finishedRetention{}; ///< How long a finished response stays available.
    std::chrono::milliseconds drainTimeout{};

    /// Reads the settings from \a document and adds every mistake to \a problems.
    static AgentSettings read(const IniDocument &document, Problems &problems);
};

} // namespace quetzalyoke

#endif
