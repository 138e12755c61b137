#ifndef QUETZALYOKE_APPS_GATEWAY_FLEET_H
#define QUETZALYOKE_APPS_GATEWAY_FLEET_H

#include "Adapters/ThriftPool.h"
#include "Apps/Gateway/GatewaySettings.h"
#include "Core/Routing/AgentDirectory.h"
#include "Core/Routing/Router.h"
#include "Wire/generated/Agent.h"

#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>

namespace quetzalyoke {

using AgentPool = ThriftPool<wire::AgentClient>;

/// \brief An agent chosen for an attempt.
struct ChosenAgent
{
    InstanceId instance;
    Incarnation incarnation;
    std::shared_ptr<AgentPool> pool;
    std::shared_ptr<void> inFlight; ///< While it lives, the attempt counts as own load.
};

/// \brief The agents that this gateway knows, with connections to them.
class Fleet
{
public:
    explicit Fleet(const GatewaySettings &settings);

    void update(const AgentStatus &status);
    /// Chooses an agent and counts an attempt at it; the fleet must outlive the result.
    std::optional<ChosenAgent> choose(const RoutingRequest &request);
    /// Connections to the agent at \a address.
    std::shared_ptr<AgentPool> poolFor(const std::string &address);
    void suspect(const InstanceId &instance);
    /// \sa AgentDirectory::setLeaving
    void setLeaving(std::set<InstanceId> leaving);
    /// Takes the load that an answer of the agent carried.
    void observeLoad(const InstanceId &instance, std::int64_t load);
    std::vector<AgentDirectory::Candidate> all() const;

private:
    std::shared_ptr<AgentPool> poolForLocked(const std::string &address);
    std::shared_ptr<void> countAttemptLocked(const InstanceId &instance);

    const GatewaySettings &m_settings;
    RoutingPolicy m_policy;
    mutable std::mutex m_mutex; // of the members below
    AgentDirectory m_directory;
    std::unordered_map<std::string, std::shared_ptr<AgentPool>> m_pools;
    std::mt19937_64 m_random;
};

} // namespace quetzalyoke

#endif
