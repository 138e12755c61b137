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
    std::shared_ptr<void> inFlight; ///< While it lives, the attempt counts as own load.
};

/// \brief The agents that this gateway knows, with connections to them.
class AgentRegistry
{
public:
    explicit AgentRegistry(const GatewaySettings &settings);

    void updateStatus(const AgentStatus &status);
    /// Chooses an agent and counts an attempt at it; the fleet must outlive the result.
    std::optional<ChosenAgent> chooseAgent(const RoutingRequest &request);
    /// Connections to the agent at \a address.
    std::shared_ptr<AgentConnectionPool> poolFor(const std::string &address);
    void suspect(const InstanceId &instance);
    /// \sa AgentDirectory::setLeaving
    void setLeavingInstances(std::set<InstanceId> leaving);
    /// Takes the load that an answer of the agent carried.
    void updateReportedLoad(const InstanceId &instance, std::int64_t load);
    std::vector<AgentDirectory::Candidate> allAgents() const;

private:
    std::shared_ptr<AgentConnectionPool> poolForLocked(const std::string &address);
    std::shared_ptr<void> countAttemptLocked(const InstanceId &instance);

    const GatewaySettings &m_settings;
    RoutingPolicy m_policy;
    mutable std::mutex m_mutex; // of the members below
    AgentDirectory m_directory;
    std::unordered_map<std::string, std::shared_ptr<AgentConnectionPool>> m_pools;
    std::mt19937_64 m_random;
};

} // namespace quetzalyoke

#endif
