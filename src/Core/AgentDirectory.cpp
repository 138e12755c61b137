#include "Core/AgentDirectory.h"

#include <utility>

namespace quetzalyoke {

AgentDirectory::AgentDirectory(Duration silenceLimit) : m_silenceLimit(silenceLimit) { }

bool AgentDirectory::update(const AgentStatus &status, Instant now)
{
    Entry &entry = m_agents[status.instance];
    const AgentStatus &known = entry.candidate.status;
    if (std::pair(known.incarnation, known.sequence)
        >= std::pair(status.incarnation, status.sequence))
        return false;
    entry.candidate.status = status;
    entry.heardAt = now;
    entry.suspected = false;
    return true;
}

void AgentDirectory::suspect(const InstanceId &instance)
{
    const auto it = m_agents.find(instance);
    if (it != m_agents.end())
        it->second.suspected = true;
}

void AgentDirectory::adjustOwnLoad(const InstanceId &instance, std::int64_t change)
{
    const auto it = m_agents.find(instance);
    if (it != m_agents.end())
        it->second.candidate.ownLoad += change;
}

std::vector<AgentDirectory::Candidate> AgentDirectory::all() const
{
    std::vector<Candidate> list;
    for (const auto &[id, entry] : m_agents)
        list.push_back(entry.candidate);
    return list;
}

} // namespace quetzalyoke
