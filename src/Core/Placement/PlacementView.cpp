#include "Core/Placement/PlacementView.h"

#include <algorithm>

namespace quetzalyoke {

namespace {

// Replicas are busy if their load exceeds this part of their servers' capacity.
constexpr double busyLoadFactor = 0.7;
// An unneeded replica is kept for this long, because demand often returns.
constexpr Duration spareReplicaRetention = std::chrono::seconds(30);

// Returns whether the second replica only replaces the first one, with another version.
bool isReplacement(const PlacementPlan::Replicas &replicas)
{
    return replicas.size() == 2 && replicas.begin()->second != replicas.rbegin()->second;
}

} // namespace

PlacementView::PlacementView(Duration reportTimeout, Instant startedAt)
    : m_reportTimeout(reportTimeout), m_startedAt(startedAt), m_halfReportedAt(startedAt)
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

// If fewer than half of the engines report, either most of a small fleet is lost or this gateway is
// disconnected. Waits longer in this case before models are moved.
bool PlacementView::hasEnoughReports(const ServiceList &list, Instant now)
{
    std::size_t listed = 0;
    std::size_t reporting = 0;
    for (const auto &[name, server] : list.servers) {
        if (server.kind != ServerKind::Engine)
            continue;
        ++listed;
        const auto it = m_servers.find(name);
        if (it != m_servers.end() && it->second.reportedAt + m_reportTimeout >= now)
            ++reporting;
    }
    if (reporting == listed) {
        m_halfReportedAt = now;
        return true;
    }
    if (2 * reporting >= listed)
        m_halfReportedAt = now;
    const Duration extraWait = 2 * reporting >= listed ? Duration() : m_reportTimeout;
    return now >= m_startedAt + m_reportTimeout && reporting > 0
        && now >= m_halfReportedAt + extraWait;
}

bool PlacementView::isUsable(const Entry &entry, Instant now) const
{
    return entry.reportedAt + m_reportTimeout >= now && !entry.status.draining
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
        const Megabytes reported = entry.status.memory;
        server.zone = entry.status.zone;
        server.memory = reported == Megabytes() ? listed->second.memory
                                                : std::min(reported, listed->second.memory);
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

// Adds a replica while all are busy. Removes one when the others could have handled the load for
// spareReplicaRetention.
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
    const auto replicaCount = static_cast<double>(replicas.size());
    if (load > busyLoadFactor * capacity) {
        m_neededAt[model] = now;
        return replicas.size() + 1;
    }
    if (isReplacement(replicas))
        return 1;
    if (replicas.size() < 2 || load > busyLoadFactor * capacity * (replicaCount - 1) / replicaCount)
        m_neededAt[model] = now;
    return now - m_neededAt[model] > spareReplicaRetention ? replicas.size() - 1 : replicas.size();
}

} // namespace quetzalyoke
