#include "Core/Placement/PlacementPlanner.h"

#include <algorithm>

namespace quetzalyoke {

namespace {

bool hasVersion(const PlacementPlan::Replicas &replicas, const std::string &version)
{
    return std::any_of(replicas.begin(), replicas.end(),
                       [&version](const auto &replica) { return replica.second == version; });
}

} // namespace

PlacementPlanner::PlacementPlanner(const PlacementInput &input) : m_input(input)
{
    computeModelMemory();
}

void PlacementPlanner::computeModelMemory()
{
    for (const auto &[name, model] : m_input.list->models)
        m_modelMemory[name] = model.memory;
    for (const auto &[name, adapter] : m_input.list->adapters) {
        const auto base = m_modelMemory.find(adapter.base);
        if (base != m_modelMemory.end())
            base->second += adapter.memory;
    }
}

PlacementPlan PlacementPlanner::nextPlan(const PlacementPlan &previous)
{
    m_plan = previous;
    m_unplaced.clear();
    m_room.clear();
    m_byRoom.clear();
    for (const auto &[name, server] : m_input.servers) {
        if (!server.isUsable)
            continue;
        m_room[name] = server.memory;
        m_byRoom[server.zone].insert({server.memory, name});
    }
    removeUnusableReplicas();
    removeFromOverfullServers();

    // Large models first: they find room in the fewest places.
    std::vector<const ModelEntry *> models;
    for (const auto &[name, model] : m_input.list->models)
        models.push_back(&model);
    std::stable_sort(models.begin(), models.end(), [this](const auto *a, const auto *b) {
        return m_modelMemory.at(a->name) > m_modelMemory.at(b->name);
    });
    for (const ModelEntry *it : models)
        placeFirstReplica(*it);
    for (const ModelEntry *it : models)
        updateVersion(*it);
    m_unreadyReplicas = unreadyReplicaCount();
    for (const ModelEntry *it : models)
        adjustReplicaCount(*it);
    return m_plan;
}

// Copies of models that are listed no more and on servers that can't be used are no copies. What
// remains takes its room.
void PlacementPlanner::removeUnusableReplicas()
{
    std::erase_if(m_plan.models,
                  [this](const auto &entry) { return !m_modelMemory.contains(entry.first); });
    for (auto &[model, replicas] : m_plan.models) {
        std::erase_if(replicas,
                      [this](const auto &replica) { return !m_room.contains(replica.first); });
        for (const auto &[server, version] : replicas)
            changeRoom(server, Megabytes() - m_modelMemory.at(model));
    }
}

// A server may be overfull after a model or adapter has grown, or after two gateways planned
// different shards at once. Copies that have another one elsewhere go first.
void PlacementPlanner::removeFromOverfullServers()
{
    for (const bool onlySpares : {true, false}) {
        for (auto &[model, replicas] : m_plan.models) {
            const Replicas known = replicas;
            for (const auto &[server, version] : known) {
                const bool spare = replicas.size() > 1;
                if (m_room[server] < Megabytes() && (spare || !onlySpares))
                    removeReplica(model, server);
            }
        }
    }
}

void PlacementPlanner::placeFirstReplica(const ModelEntry &model)
{
    if (!m_plan.models[model.name].empty())
        return;
    const ServerName *server = findServer(model);
    if (!server && makeRoom(model))
        server = findServer(model);
    if (server)
        addReplica(model, *server);
    else
        m_unplaced.push_back(model.name);
}

// The new version is loaded beside the old ones; once it is ready they are changed one after the
// other. Without room for that, one copy is changed in place, which a model with a single copy
// feels.
void PlacementPlanner::updateVersion(const ModelEntry &model)
{
    Replicas &replicas = m_plan.models[model.name];
    const auto old = findOutdatedReplica(model, replicas);
    if (old == replicas.end())
        return;
    if (!hasVersion(replicas, model.version)) {
        const ServerName *server = findServer(model);
        if (!server && replicas.size() == 1 && makeRoom(model))
            server = findServer(model);
        if (server)
            addReplica(model, *server);
        else if (replicas.size() > 1 || !mayGetRoom(model))
            old->second = model.version;
        return;
    }
    const bool allReady = std::all_of(replicas.begin(), replicas.end(), [&](const auto &replica) {
        return replica.second != model.version
            || isReady(model.name, replica.first, replica.second);
    });
    if (!allReady)
        return;
    const std::size_t target = targetReplicaCount(model.name);
    if (replicas.size() > target)
        removeReplica(model.name, old->first);
    else
        old->second = model.version;
}

// A copy of another version, one that can't answer first: nobody misses it.
PlacementPlanner::Replicas::iterator PlacementPlanner::findOutdatedReplica(const ModelEntry &model,
                                                                           Replicas &replicas) const
{
    auto old = replicas.end();
    for (auto it = replicas.begin(); it != replicas.end(); ++it) {
        if (it->second == model.version)
            continue;
        old = it;
        if (!isReady(model.name, it->first, it->second))
            return old;
    }
    return old;
}

void PlacementPlanner::adjustReplicaCount(const ModelEntry &model)
{
    const std::size_t target = targetReplicaCount(model.name);
    const Replicas &replicas = m_plan.models[model.name];
    if (replicas.size() < target && m_unreadyReplicas < m_input.maxLoadsInFlight) {
        if (const ServerName *server = findServer(model)) {
            addReplica(model, *server);
            ++m_unreadyReplicas;
        }
        return;
    }
    // One at a time, and only while all the others can answer.
    if (replicas.size() > target && readyReplicaCount(model.name) == replicas.size()) {
        const auto fullest = std::min_element(replicas.begin(), replicas.end(),
                                              [this](const auto &a, const auto &b) {
                                                  return m_room.at(a.first) < m_room.at(b.first);
                                              });
        removeReplica(model.name, fullest->first);
    }
}

// Gives up spare copies of other models on one server.
bool PlacementPlanner::makeRoom(const ModelEntry &model)
{
    const Megabytes needed = m_modelMemory.at(model.name);
    for (const auto &[server, names] :
         spareReplicas([this](const ModelName &name, const auto &replica) {
             return isDispensable(name, replica.first, replica.second);
         })) {
        if (holds(model.name, server) || roomWithout(names, server) < needed)
            continue;
        for (const ModelName &it : names) {
            if (m_room.at(server) < needed)
                removeReplica(it, server);
        }
        return true;
    }
    return false;
}

// Whether some server will have room once copies that can't be given up yet are ready elsewhere.
bool PlacementPlanner::mayGetRoom(const ModelEntry &model) const
{
    const auto all = spareReplicas([](const ModelName &, const auto &) { return true; });
    return std::any_of(all.begin(), all.end(), [&](const auto &entry) {
        return !holds(model.name, entry.first)
            && roomWithout(entry.second, entry.first) >= m_modelMemory.at(model.name);
    });
}

// Copies beyond the first of their model that \a accepts says yes to, by server.
std::map<ServerName, std::vector<ModelName>>
PlacementPlanner::spareReplicas(const ReplicaFilter &accepts) const
{
    std::map<ServerName, std::vector<ModelName>> found;
    for (const auto &[name, replicas] : m_plan.models) {
        if (replicas.size() < 2)
            continue;
        for (const auto &replica : replicas) {
            if (accepts(name, replica))
                found[replica.first].push_back(name);
        }
    }
    return found;
}

Megabytes PlacementPlanner::roomWithout(const std::vector<ModelName> &names,
                                        const ServerName &server) const
{
    Megabytes room = m_room.at(server);
    for (const ModelName &it : names)
        room += m_modelMemory.at(it);
    return room;
}

// The copies that remain must be able to answer, and a change of version goes on undisturbed.
bool PlacementPlanner::isDispensable(const ModelName &model, const ServerName &server,
                                     const std::string &version) const
{
    for (const auto &[other, itsVersion] : m_plan.models.at(model)) {
        if (itsVersion != m_input.list->models.at(model).version)
            return false;
    }
    return readyReplicaCount(model) > (isReady(model, server, version) ? 1U : 0U);
}

bool PlacementPlanner::holds(const ModelName &model, const ServerName &server) const
{
    const auto it = m_plan.models.find(model);
    return it != m_plan.models.end() && it->second.contains(server);
}

bool PlacementPlanner::isReady(const ModelName &model, const ServerName &server,
                               const std::string &version) const
{
    const auto known = m_input.servers.find(server);
    if (known == m_input.servers.end() || !known->second.isUsable)
        return false;
    const auto it = known->second.readyVersions.find(model.text());
    return it != known->second.readyVersions.end() && it->second == version;
}

std::size_t PlacementPlanner::readyReplicaCount(const ModelName &model) const
{
    const Replicas &replicas = m_plan.models.at(model);
    return static_cast<std::size_t>(
        std::count_if(replicas.begin(), replicas.end(), [&](const auto &replica) {
            return isReady(model, replica.first, replica.second);
        }));
}

std::size_t PlacementPlanner::targetReplicaCount(const ModelName &model) const
{
    const auto wanted = m_input.wantedReplicas.find(model);
    return wanted == m_input.wantedReplicas.end() ? 1 : std::max<std::size_t>(1, wanted->second);
}

std::size_t PlacementPlanner::unreadyReplicaCount() const
{
    std::size_t n = 0;
    for (const auto &[model, replicas] : m_plan.models)
        n += replicas.size() - readyReplicaCount(model);
    return n;
}

// A zone with the fewest copies of the model first, then the server with the most room. Servers
// are kept in the order of their room by zone, so that a search looks at few of them.
const ServerName *PlacementPlanner::findServer(const ModelEntry &model) const
{
    const Megabytes needed = m_modelMemory.at(model.name);
    std::map<ZoneName, std::size_t> replicasInZone;
    const auto known = m_plan.models.find(model.name);
    if (known != m_plan.models.end()) {
        for (const auto &[server, version] : known->second)
            ++replicasInZone[m_input.servers.at(server).zone];
    }
    const ServerName *best = nullptr;
    std::pair<std::size_t, Megabytes> bestRank;
    for (const auto &[zone, rooms] : m_byRoom) {
        const auto free = std::find_if(rooms.rbegin(), rooms.rend(), [&](const auto &entry) {
            return entry.first < needed || !holds(model.name, entry.second);
        });
        if (free == rooms.rend() || free->first < needed)
            continue;
        const auto replicas = replicasInZone.find(zone);
        // Fewer copies in the zone, then more room, is the lower rank.
        const std::pair rank(replicas == replicasInZone.end() ? 0 : replicas->second,
                             Megabytes() - free->first);
        if (!best || rank < bestRank) {
            best = &free->second;
            bestRank = rank;
        }
    }
    return best;
}

void PlacementPlanner::changeRoom(const ServerName &server, Megabytes change)
{
    auto &rooms = m_byRoom[m_input.servers.at(server).zone];
    Megabytes &room = m_room.at(server);
    // The name may stand in the entry that is erased.
    std::pair entry(room, server);
    rooms.erase(entry);
    room += change;
    entry.first = room;
    rooms.insert(std::move(entry));
}

void PlacementPlanner::addReplica(const ModelEntry &model, const ServerName &server)
{
    m_plan.models[model.name][server] = model.version;
    changeRoom(server, Megabytes() - m_modelMemory.at(model.name));
}

void PlacementPlanner::removeReplica(const ModelName &model, const ServerName &server)
{
    changeRoom(server, m_modelMemory.at(model));
    m_plan.models[model].erase(server);
}

} // namespace quetzalyoke
