#include "Core/Placement/PlacementView.h"

#include <algorithm>

namespace quetzalyoke {

namespace {

// A copy is busy with this share of the attempts that its server runs at once.
constexpr double busyShare = 0.7;
// A copy that is not needed is kept for this long: demand comes back.
constexpr Duration spareTime = std::chrono::seconds(30);

// Whether the second copy is there only to take the first one's place.
bool isReplacement(const PlacementPlan::Replicas &replicas)
{
    return replicas.size() == 2 && replicas.begin()->second != replicas.rbegin()->second;
}

} // namespace

PlacementView::PlacementView(Duration silence, Instant startedAt)
    : m_silence(silence), m_startedAt(startedAt), m_halfReportedAt(startedAt)
{ }

void PlacementView::update(const EnginePlacementStatus &status, Instant now)
{
    Entry &entry = m_servers[status.server];
    const auto known = std::pair(entry.status.incarnation, entry.status.sequence);
    if (known >= std::pair(status.incarnation, status.sequence))
        return;
    entry.status = status;
    entry.reportedAt = now;
}

void PlacementView::setLeavingInstances(std::set<InstanceId> instances)
{
    m_leavingInstances = std::move(instances);
}

bool PlacementView::isLeaving(const InstanceId &instance) const
{
    return m_leavingInstances.contains(instance);
}

// Less than half may be left of a small fleet, or this gateway may be cut off: wait a little
// longer before models are moved.
bool PlacementView::hasEnoughReports(const ServiceList &list, Instant now)
{
    std::size_t listed = 0;
    std::size_t heard = 0;
    for (const auto &[name, server] : list.servers) {
        if (server.kind != ServerKind::Engine)
            continue;
        ++listed;
        const auto it = m_servers.find(name);
        if (it != m_servers.end() && it->second.reportedAt + m_silence >= now)
            ++heard;
    }
    if (heard == listed) {
        m_halfReportedAt = now;
        return true;
    }
    if (2 * heard >= listed)
        m_halfReportedAt = now;
    const Duration patience = 2 * heard >= listed ? Duration() : m_silence;
    return now >= m_startedAt + m_silence && heard > 0 && now >= m_halfReportedAt + patience;
}

bool PlacementView::isUsable(const Entry &entry, Instant now) const
{
    return entry.reportedAt + m_silence >= now && !entry.status.draining
        && !isLeaving(entry.status.instance);
}

PlacementInput PlacementView::makePlannerInput(const ServiceList &list, const PlacementPlan &plan,
                                               Instant now)
{
    PlacementInput input;
    input.list = &list;
    for (const auto &[name, entry] : m_servers) {
        const auto listed = list.servers.find(name);
        if (listed == list.servers.end() || listed->second.kind != ServerKind::Engine)
            continue;
        PlacementServer &server = input.servers[name];
        const Megabytes told = entry.status.memory;
        server.zone = entry.status.zone;
        server.memory
            = told == Megabytes() ? listed->second.memory : std::min(told, listed->second.memory);
        server.isUsable = isUsable(entry, now);
        for (const EnginePlacementStatus::Model &it : entry.status.models) {
            if (it.isReady)
                server.readyVersions[it.name] = it.version;
        }
    }
    for (const auto &[model, replicas] : plan.models)
        input.wantedReplicas[model] = wantedReplicas(model, replicas, now);
    return input;
}

// One more copy while all are busy; one less once the others could have done it for a while.
std::size_t PlacementView::wantedReplicas(const ModelName &model,
                                          const PlacementPlan::Replicas &replicas, Instant now)
{
    double load = 0;
    double capacity = 0;
    for (const auto &[server, version] : replicas) {
        const auto entry = m_servers.find(server);
        if (entry == m_servers.end())
            continue;
        capacity += static_cast<double>(entry->second.status.capacity);
        for (const EnginePlacementStatus::Model &it : entry->second.status.models) {
            if (it.name == model.text())
                load += static_cast<double>(it.load);
        }
    }
    const auto n = static_cast<double>(replicas.size());
    if (load > busyShare * capacity) {
        m_busyAt[model] = now;
        return replicas.size() + 1;
    }
    if (isReplacement(replicas))
        return 1;
    if (replicas.size() < 2 || load > busyShare * capacity * (n - 1) / n)
        m_busyAt[model] = now;
    return now - m_busyAt[model] > spareTime ? replicas.size() - 1 : replicas.size();
}

} // namespace quetzalyoke
