#include "Apps/Gateway/AgentRegistry.h"

#include "Adapters/Process.h"

namespace quetzalyoke {

namespace {

constexpr std::chrono::milliseconds connectTimeout{500};
// Must exceed the longest wait that a gateway requests of an agent.
constexpr std::chrono::milliseconds callTimeout{3000};

} // namespace

AgentRegistry::AgentRegistry(const GatewaySettings &settings)
    : m_settings(settings), m_policy(makeRoutingPolicy(settings.routingPolicy)),
      m_directory(settings.agentSilenceTimeout), m_random(std::random_device{}())
{ }

void AgentRegistry::updateStatus(const AgentStatus &status)
{
    const std::lock_guard lock(m_mutex);
    m_directory.update(status, Process::now());
}

std::optional<ChosenAgent> AgentRegistry::chooseAgent(const RoutingRequest &request)
{
    const std::lock_guard lock(m_mutex);
    const auto *chosen = m_policy(request, m_directory, Process::now(), m_random);
    if (!chosen)
        return std::nullopt;
    return ChosenAgent{chosen->status.instance, chosen->status.incarnation,
                       poolForLocked(chosen->status.address),
                       countAttemptLocked(chosen->status.instance)};
}

std::shared_ptr<AgentConnectionPool> AgentRegistry::poolFor(const std::string &address)
{
    const std::lock_guard lock(m_mutex);
    return poolForLocked(address);
}

void AgentRegistry::suspect(const InstanceId &instance)
{
    const std::lock_guard lock(m_mutex);
    m_directory.markUnreachable(instance);
}

void AgentRegistry::setLeavingInstances(std::set<InstanceId> leaving)
{
    const std::lock_guard lock(m_mutex);
    m_directory.setLeavingInstances(std::move(leaving));
}

void AgentRegistry::updateReportedLoad(const InstanceId &instance, std::int64_t load)
{
    const std::lock_guard lock(m_mutex);
    m_directory.updateReportedLoad(instance, load);
}

std::vector<AgentDirectory::Candidate> AgentRegistry::allAgents() const
{
    const std::lock_guard lock(m_mutex);
    return m_directory.candidates();
}

std::shared_ptr<AgentConnectionPool> AgentRegistry::poolForLocked(const std::string &address)
{
    auto &pool = m_pools[address];
    if (!pool) {
        pool = std::make_shared<AgentConnectionPool>(
            Address::parse(address), m_settings.fleetSecret, connectTimeout, callTimeout);
    }
    return pool;
}

// The attempt counts as load as soon as the agent is chosen, long before the agent reports it.
std::shared_ptr<void> AgentRegistry::countAttemptLocked(const InstanceId &instance)
{
    m_directory.adjustOwnLoad(instance, 1);
    return {nullptr, [this, instance](void *) {
                const std::lock_guard lock(m_mutex);
                m_directory.adjustOwnLoad(instance, -1);
            }};
}

} // namespace quetzalyoke
