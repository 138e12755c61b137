#include "Core/Placement/PlacementView.h"

#include <algorithm>

namespace quetzalyoke {

namespace {

// A copy is busy with this share of the attempts that its server runs at once.
constexpr double busyShare = 0.7;
// A copy that is not needed is kept for this long: demand comes back.
constexpr Duration spareTime = std::chrono::seconds(30);

// Whether the second copy is there only to take the first one's place.
bool isReplacement(const PlacementPlan::Copies &copies)
{
    return copies.size() == 2 && copies.begin()->second != copies.rbegin()->second;
}

} // namespace

PlacementView::PlacementView(Duration silence, Instant startedAt)
    : m_silence(silence), m_startedAt(startedAt), m_halfHeardAt(startedAt)
{ }

void PlacementView::update(const EngineStatus &status, Instant now)
{
    Entry &entry = m_servers[status.server];
    const auto known = std::pair(entry.status.incarnation, entry.status.sequence);
    if (known >= std::pair(status.incarnation, status.sequence))
        return;
    entry.status = status;
    entry.heardAt = now;
}

void PlacementView::setListedLeaving(std::set<InstanceId> instances)
{
    m_listedLeaving = std::move(instances);
}

bool PlacementView::isLeaving(const InstanceId &instance) const
{
    return m_listedLeaving.contains(instance);
}

// Less than half may be left of a small fleet, or this gateway may be cut off: wait a little
// longer before models are moved.
bool PlacementView::isComplete(const ServiceList &list, Instant now)
{
    std::size_t listed = 0;
    std::size_t heard = 0;
    for (const auto &[name, server] : list.servers) {
        if (server.kind != ServerKind::Engine)
            continue;
        ++listed;
        const auto it = m_servers.find(name);
        if (it != m_servers.end() && it->second.heardAt + m_silence >= now)
            ++heard;
    }
    if (heard == listed) {
        m_halfHeardAt = now;
        return true;
    }
    if (2 * heard >= listed)
        m_halfHeardAt = now;
    const Duration patience = 2 * heard >= listed ? Duration() : m_silence;
    return now >= m_startedAt + m_silence && heard > 0 && now >= m_halfHeardAt + patience;
}

bool PlacementView::isUsable(const Entry &entry, Instant now) const
{
    return entry.heardAt + m_silence >= now && !entry.status.draining
        && !isLeaving(entry.status.instance);
}

PlacementInput PlacementView::input(const ServiceList &list, const PlacementPlan &plan, Instant now)
{
    PlacementInput input;
    input.list = &list;
    for (const auto &[name, entry] : m_servers) {
        const auto listed = list.servers.find(name);
        if (listed == list.servers.end() || listed->second.kind != ServerKind::Engine)
            continue;
        PlannedServer &server = input.servers[name];
        const Megabytes told = entry.status.memory;
        server.zone = entry.status.zone;
        server.memory
            = told == Megabytes() ? listed->second.memory : std::min(told, listed->second.memory);
        server.usable = isUsable(entry, now);
        for (const EngineStatus::Model &it : entry.status.models) {
            if (it.ready)
                server.ready[it.name] = it.version;
        }
    }
    for (const auto &[model, copies] : plan.models)
        input.wantedCopies[model] = wantedCopies(model, copies, now);
    return input;
}

// One more copy while all are busy; one less once the others could have done it for a while.
std::size_t PlacementView::wantedCopies(const ModelName &model, const PlacementPlan::Copies &copies,
                                        Instant now)
{
    double load = 0;
    double capacity = 0;
    for (const auto &[server, version] : copies) {
        const auto entry = m_servers.find(server);
        if (entry == m_servers.end())
            continue;
        capacity += static_cast<double>(entry->second.status.capacity);
        for (const EngineStatus::Model &it : entry->second.status.models) {
            if (it.name == model.text())
                load += static_cast<double>(it.load);
        }
    }
    const auto n = static_cast<double>(copies.size());
    if (load > busyShare * capacity) {
        m_busyAt[model] = now;
        return copies.size() + 1;
    }
    if (isReplacement(copies))
        return 1;
    if (copies.size() < 2 || load > busyShare * capacity * (n - 1) / n)
        m_busyAt[model] = now;
    return now - m_busyAt[model] > spareTime ? copies.size() - 1 : copies.size();
}

} // namespace quetzalyoke
