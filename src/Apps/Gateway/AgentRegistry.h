#ifndef QUETZALYOKE_APPS_GATEWAY_AGENTREGISTRY_H
#define QUETZALYOKE_APPS_GATEWAY_AGENTREGISTRY_H

#include "Adapters/ThriftClientPool.h"
#include "Apps/Gateway/GatewaySettings.h"
#include "Core/Routing/AgentDirectory.h"
#include "Core/Routing/Router.h"
#include "Wire/generated/Agent.h"

#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>

namespace quetzalyoke {

using AgentConnectionPool = ThriftClientPool<wire::AgentClient>;

/// \brief An agent chosen for an attempt.
struct ChosenAgent
{
    InstanceId instance;
    Incarnation incarnation;
    std::shared_ptr<AgentConnectionPool> pool;
    std::shared_ptr<void> inFlight; ///< Counts the attempt as own load during its lifetime.
};

/// \brief The agents known to this gateway and the connections to them. Thread-safe.
class AgentRegistry
{
public:
    explicit AgentRegistry(const GatewaySettings &settings);

    void updateStatus(const AgentStatus &status);
    /// Chooses an agent and counts an attempt at it. The registry must outlive the result.
    std::optional<ChosenAgent> chooseAgent(const RoutingRequest &request);
    /// Returns the connection pool for the agent at \a address.
    std::shared_ptr<AgentConnectionPool> poolFor(const std::string &address);
    void suspect(const InstanceId &instance);
    /// \sa AgentDirectory::setLeaving
    void setLeavingInstances(std::set<InstanceId> leaving);
    /// Records the load that a response of the agent reported.
    void updateReportedLoad(const InstanceId &instance, std::int64_t load);
    std::vector<AgentDirectory::Candidate> allAgents() const;

private:
    std::shared_ptr<AgentConnectionPool> poolForLocked(const std::string &address);
    std::shared_ptr<void> countAttemptLocked(const InstanceId &instance);

    const GatewaySettings &m_settings;
    RoutingPolicy m_policy;
    mutable std::mutex m_mutex; // protects the members below
    AgentDirectory m_directory;
    std::unordered_map<std::string, std::shared_ptr<AgentConnectionPool>> m_pools;
    std::mt19937_64 m_random;
};

} // namespace quetzalyoke

#endif
