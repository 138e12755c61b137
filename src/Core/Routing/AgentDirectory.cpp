#include "Core/Routing/AgentDirectory.h"

#include <algorithm>
#include <utility>

namespace quetzalyoke {

namespace {

using Candidate = AgentDirectory::Candidate;
using List = AgentDirectory::TargetAgents::AgentList;

bool isBefore(const Candidate *a, const Candidate *b)
{
    return a->status.instance < b->status.instance;
}

void insert(List &list, const Candidate *candidate)
{
    list.insert(std::lower_bound(list.begin(), list.end(), candidate, isBefore), candidate);
}

void remove(List &list, const Candidate *candidate)
{
    const auto it = std::lower_bound(list.begin(), list.end(), candidate, isBefore);
    if (it != list.end() && *it == candidate)
        list.erase(it);
}

} // namespace

// A report also counts this gateway's own attempts at the time of the report.
std::int64_t AgentDirectory::Candidate::estimatedLoad() const
{
    return std::max(ownLoad, reportedLoad + ownLoad - ownLoadAtReport);
}

const List &AgentDirectory::TargetAgents::inZone(const ZoneName &zone) const
{
    static const AgentList empty;
    const auto it = byZone.find(zone);
    return it == byZone.end() ? empty : it->second;
}

AgentDirectory::AgentDirectory(Duration reportTimeout) : m_reportTimeout(reportTimeout) { }

bool AgentDirectory::update(const AgentStatus &status, Instant now)
{
    auto &entry = m_agents[status.instance];
    const bool isNew = !entry;
    if (isNew)
        entry = std::make_unique<Entry>();
    const AgentStatus &known = entry->status;
    if (std::pair(known.incarnation, known.sequence)
        >= std::pair(status.incarnation, status.sequence))
        return false;
    const bool indexChanged
        = isNew || known.availableTargets != status.availableTargets || known.zone != status.zone;
    if (indexChanged)
        removeFromIndex(*entry);
    entry->status = status;
    entry->reportedLoad = status.queued + status.running;
    entry->ownLoadAtReport = entry->ownLoad;
    entry->reportedAt = now;
    entry->isUnreachable = false;
    if (indexChanged)
        addToIndex(*entry);
    return true;
}

void AgentDirectory::markUnreachable(const InstanceId &instance)
{
    const auto it = m_agents.find(instance);
    if (it != m_agents.end())
        it->second->isUnreachable = true;
}

void AgentDirectory::adjustOwnLoad(const InstanceId &instance, std::int64_t change)
{
    const auto it = m_agents.find(instance);
    if (it != m_agents.end())
        it->second->ownLoad += change;
}

void AgentDirectory::updateReportedLoad(const InstanceId &instance, std::int64_t load)
{
    const auto it = m_agents.find(instance);
    if (it == m_agents.end())
        return;
    it->second->reportedLoad = load;
    it->second->ownLoadAtReport = it->second->ownLoad;
}

const AgentDirectory::TargetAgents &AgentDirectory::agentsServing(const std::string &target) const
{
    static const TargetAgents empty;
    const auto it = m_agentsByTarget.find(target);
    return it == m_agentsByTarget.end() ? empty : it->second;
}

bool AgentDirectory::isAvailable(const Candidate &candidate, Instant now) const
{
    const auto &entry = static_cast<const Entry &>(candidate);
    const bool leaving = entry.status.draining || m_leaving.contains(entry.status.instance);
    return !entry.isUnreachable && !leaving && entry.reportedAt + m_reportTimeout >= now;
}

std::vector<AgentDirectory::Candidate> AgentDirectory::candidates() const
{
    std::vector<Candidate> list;
    for (const auto &[id, entry] : m_agents)
        list.push_back(*entry);
    std::sort(list.begin(), list.end(),
              [](const auto &a, const auto &b) { return isBefore(&a, &b); });
    return list;
}

void AgentDirectory::addToIndex(const Entry &entry)
{
    for (const std::string &it : entry.status.availableTargets) {
        TargetAgents &agents = m_agentsByTarget[it];
        insert(agents.all, &entry);
        insert(agents.byZone[entry.status.zone], &entry);
    }
}

void AgentDirectory::removeFromIndex(const Entry &entry)
{
    for (const std::string &it : entry.status.availableTargets) {
        TargetAgents &agents = m_agentsByTarget[it];
        remove(agents.all, &entry);
        remove(agents.byZone[entry.status.zone], &entry);
        if (agents.all.empty())
            m_agentsByTarget.erase(it);
    }
}

} // namespace quetzalyoke
