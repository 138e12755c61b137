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
    m_freeMemory.clear();
    m_serversByFreeMemory.clear();
    for (const auto &[name, server] : m_input.servers) {
        if (!server.isUsable)
            continue;
        m_freeMemory[name] = server.memory;
        m_serversByFreeMemory[server.zone].insert({server.memory, name});
    }
    removeUnusableReplicas();
    removeFromOverfullServers();

    // Large models first, because they fit on the fewest servers.
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

// Removes the replicas of models that are no longer listed and those on unusable servers, and
// subtracts the memory of the others.
void PlacementPlanner::removeUnusableReplicas()
{
    std::erase_if(m_plan.models,
                  [this](const auto &entry) { return !m_modelMemory.contains(entry.first); });
    for (auto &[model, replicas] : m_plan.models) {
        std::erase_if(replicas, [this](const auto &replica) {
            return !m_freeMemory.contains(replica.first);
        });
        for (const auto &[server, version] : replicas)
            adjustFreeMemory(server, Megabytes() - m_modelMemory.at(model));
    }
}

// A server may be overcommitted after a model or adapter has grown, or after two gateways planned
// different shards at the same time. Replicas of models that have another one are removed first.
void PlacementPlanner::removeFromOverfullServers()
{
    for (const bool onlySpare : {true, false}) {
        for (auto &[model, replicas] : m_plan.models) {
            const Replicas snapshot = replicas;
            for (const auto &[server, version] : snapshot) {
                const bool spare = replicas.size() > 1;
                if (m_freeMemory[server] < Megabytes() && (spare || !onlySpare))
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
    if (!server && evictSpareReplicasFor(model))
        server = findServer(model);
    if (server)
        addReplica(model, *server);
    else
        m_unplaced.push_back(model.name);
}

// Loads one replica of the new version in addition to the old ones, and replaces the old ones one
// by one after it is ready. Without enough memory for that, one replica is replaced in place; a
// model with a single replica is then unavailable until it is loaded.
void PlacementPlanner::updateVersion(const ModelEntry &model)
{
    Replicas &replicas = m_plan.models[model.name];
    const auto old = findOutdatedReplica(model, replicas);
    if (old == replicas.end())
        return;
    if (!hasVersion(replicas, model.version)) {
        const ServerName *server = findServer(model);
        if (!server && replicas.size() == 1 && evictSpareReplicasFor(model))
            server = findServer(model);
        if (server)
            addReplica(model, *server);
        else if (replicas.size() > 1 || !mayGetEnoughMemory(model))
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

// Returns a replica of another version, if possible one that is not ready, because its removal
// affects no request.
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
    // Remove one replica at a time, and only if all of them are ready.
    if (replicas.size() > target && readyReplicaCount(model.name) == replicas.size()) {
        const auto leastFree = std::min_element(
            replicas.begin(), replicas.end(), [this](const auto &a, const auto &b) {
                return m_freeMemory.at(a.first) < m_freeMemory.at(b.first);
            });
        removeReplica(model.name, leastFree->first);
    }
}

// Removes spare replicas of other models from one server.
bool PlacementPlanner::evictSpareReplicasFor(const ModelEntry &model)
{
    const Megabytes needed = m_modelMemory.at(model.name);
    for (const auto &[server, names] :
         spareReplicas([this](const ModelName &name, const auto &replica) {
             return isDispensable(name, replica.first, replica.second);
         })) {
        if (hasReplica(model.name, server) || freeMemoryWithout(names, server) < needed)
            continue;
        for (const ModelName &it : names) {
            if (m_freeMemory.at(server) < needed)
                removeReplica(it, server);
        }
        return true;
    }
    return false;
}

// Returns whether some server will have enough memory once replicas that can't be removed yet are
// ready elsewhere.
bool PlacementPlanner::mayGetEnoughMemory(const ModelEntry &model) const
{
    const auto all = spareReplicas([](const ModelName &, const auto &) { return true; });
    return std::any_of(all.begin(), all.end(), [&](const auto &entry) {
        return !hasReplica(model.name, entry.first)
            && freeMemoryWithout(entry.second, entry.first) >= m_modelMemory.at(model.name);
    });
}

// Returns, by server, the models with more than one replica for whose replica there \a accepts
// returns true.
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

Megabytes PlacementPlanner::freeMemoryWithout(const std::vector<ModelName> &names,
                                              const ServerName &server) const
{
    Megabytes freeMemory = m_freeMemory.at(server);
    for (const ModelName &it : names)
        freeMemory += m_modelMemory.at(it);
    return freeMemory;
}

// One of the remaining replicas must be ready, and a change of version must not be disturbed.
bool PlacementPlanner::isDispensable(const ModelName &model, const ServerName &server,
                                     const std::string &version) const
{
    for (const auto &[other, otherVersion] : m_plan.models.at(model)) {
        if (otherVersion != m_input.list->models.at(model).version)
            return false;
    }
    return readyReplicaCount(model) > (isReady(model, server, version) ? 1U : 0U);
}

bool PlacementPlanner::hasReplica(const ModelName &model, const ServerName &server) const
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

// Prefers a zone with the fewest replicas of the model, then the server with the most free memory.
// Servers are sorted by free memory within each zone, so that a search looks at few of them.
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
    for (const auto &[zone, servers] : m_serversByFreeMemory) {
        const auto free = std::find_if(servers.rbegin(), servers.rend(), [&](const auto &entry) {
            return entry.first < needed || !hasReplica(model.name, entry.second);
        });
        if (free == servers.rend() || free->first < needed)
            continue;
        const auto replicas = replicasInZone.find(zone);
        // Fewer replicas in the zone, then more free memory, give a lower rank.
        const std::pair rank(replicas == replicasInZone.end() ? 0 : replicas->second,
                             Megabytes() - free->first);
        if (!best || rank < bestRank) {
            best = &free->second;
            bestRank = rank;
        }
    }
    return best;
}

void PlacementPlanner::adjustFreeMemory(const ServerName &server, Megabytes change)
{
    auto &servers = m_serversByFreeMemory[m_input.servers.at(server).zone];
    Megabytes &freeMemory = m_freeMemory.at(server);
    // \a server may refer to the entry that is erased, so a copy is made first.
    std::pair entry(freeMemory, server);
    servers.erase(entry);
    freeMemory += change;
    entry.first = freeMemory;
    servers.insert(std::move(entry));
}

void PlacementPlanner::addReplica(const ModelEntry &model, const ServerName &server)
{
    m_plan.models[model.name][server] = model.version;
    adjustFreeMemory(server, Megabytes() - m_modelMemory.at(model.name));
}

void PlacementPlanner::removeReplica(const ModelName &model, const ServerName &server)
{
    adjustFreeMemory(server, m_modelMemory.at(model));
    m_plan.models[model].erase(server);
}

} // namespace quetzalyoke
