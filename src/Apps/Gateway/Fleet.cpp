#include "Apps/Gateway/Fleet.h"

#include "Adapters/Process.h"

namespace quetzalyoke {

namespace {

constexpr std::chrono::milliseconds connectTimeout{500};
// Longer than the longest wait that a gateway asks of an agent.
constexpr std::chrono::milliseconds callTimeout{3000};

} // namespace

Fleet::Fleet(const GatewaySettings &settings)
    : m_settings(settings), m_policy(routingPolicy(settings.routingPolicy)),
      m_directory(settings.agentSilence), m_random(std::random_device{}())
{ }

void Fleet::update(const AgentStatus &status)
{
    const std::lock_guard lock(m_mutex);
    m_directory.update(status, Process::now());
}

std::optional<ChosenAgent> Fleet::choose(const RoutingRequest &request)
{
    const std::lock_guard lock(m_mutex);
    const auto *chosen = m_policy(request, m_directory, Process::now(), m_random);
    if (!chosen)
        return std::nullopt;
    return ChosenAgent{chosen->status.instance, chosen->status.incarnation,
                       poolForLocked(chosen->status.address),
                       countAttemptLocked(chosen->status.instance)};
}

std::shared_ptr<AgentPool> Fleet::poolFor(const std::string &address)
{
    const std::lock_guard lock(m_mutex);
    return poolForLocked(address);
}

void Fleet::suspect(const InstanceId &instance)
{
    const std::lock_guard lock(m_mutex);
    m_directory.suspect(instance);
}

void Fleet::setLeaving(std::set<InstanceId> leaving)
{
    const std::lock_guard lock(m_mutex);
    m_directory.setLeaving(std::move(leaving));
}

void Fleet::observeLoad(const InstanceId &instance, std::int64_t load)
{
    const std::lock_guard lock(m_mutex);
    m_directory.observeLoad(instance, load);
}

std::vector<AgentDirectory::Candidate> Fleet::all() const
{
    const std::lock_guard lock(m_mutex);
    return m_directory.all();
}

std::shared_ptr<AgentPool> Fleet::poolForLocked(const std::string &address)
{
    auto &pool = m_pools[address];
    if (!pool) {
        pool = std::make_shared<AgentPool>(Address::parse(address), m_settings.fleetSecret,
                                           connectTimeout, callTimeout);
    }
    return pool;
}

// The attempt is on its way from the choice on, long before the agent reports it.
std::shared_ptr<void> Fleet::countAttemptLocked(const InstanceId &instance)
{
    m_directory.adjustOwnLoad(instance, 1);
    return {nullptr, [this, instance](void *) {
                const std::lock_guard lock(m_mutex);
                m_directory.adjustOwnLoad(instance, -1);
            }};
}

} // namespace quetzalyoke
