#include "Core/Placement/PlacementPlanner.h"

#include <algorithm>

namespace quetzalyoke {

namespace {

bool hasVersion(const PlacementPlan::Copies &copies, const std::string &version)
{
    return std::any_of(copies.begin(), copies.end(),
                       [&version](const auto &copy) { return copy.second == version; });
}

} // namespace

PlacementPlanner::PlacementPlanner(const PlacementInput &input) : m_input(input)
{
    measureBundles();
}

void PlacementPlanner::measureBundles()
{
    for (const auto &[name, model] : m_input.list->models)
        m_bundles[name] = model.memory;
    for (const auto &[name, adapter] : m_input.list->adapters) {
        const auto base = m_bundles.find(adapter.base);
        if (base != m_bundles.end())
            base->second += adapter.memory;
    }
}

PlacementPlan PlacementPlanner::next(const PlacementPlan &previous)
{
    m_plan = previous;
    m_unplaced.clear();
    m_room.clear();
    m_byRoom.clear();
    for (const auto &[name, server] : m_input.servers) {
        if (!server.usable)
            continue;
        m_room[name] = server.memory;
        m_byRoom[server.zone].insert({server.memory, name});
    }
    dropUnknown();
    dropOverfull();

    // Large models first: they find room in the fewest places.
    std::vector<const ModelEntry *> models;
    for (const auto &[name, model] : m_input.list->models)
        models.push_back(&model);
    std::stable_sort(models.begin(), models.end(), [this](const auto *a, const auto *b) {
        return m_bundles.at(a->name) > m_bundles.at(b->name);
    });
    for (const ModelEntry *it : models)
        placeFloor(*it);
    for (const ModelEntry *it : models)
        changeVersion(*it);
    m_underWay = copiesUnderWay();
    for (const ModelEntry *it : models)
        adjustCopies(*it);
    return m_plan;
}

// Copies of models that are listed no more and on servers that can't be used are no copies. What
// remains takes its room.
void PlacementPlanner::dropUnknown()
{
    std::erase_if(m_plan.models,
                  [this](const auto &entry) { return !m_bundles.contains(entry.first); });
    for (auto &[model, copies] : m_plan.models) {
        std::erase_if(copies, [this](const auto &copy) { return !m_room.contains(copy.first); });
        for (const auto &[server, version] : copies)
            changeRoom(server, Megabytes() - m_bundles.at(model));
    }
}

// A server may be overfull after a model or adapter has grown, or after two gateways planned
// different shards at once. Copies that have another one elsewhere go first.
void PlacementPlanner::dropOverfull()
{
    for (const bool onlySpares : {true, false}) {
        for (auto &[model, copies] : m_plan.models) {
            const Copies known = copies;
            for (const auto &[server, version] : known) {
                const bool spare = copies.size() > 1;
                if (m_room[server] < Megabytes() && (spare || !onlySpares))
                    remove(model, server);
            }
        }
    }
}

void PlacementPlanner::placeFloor(const ModelEntry &model)
{
    if (!m_plan.models[model.name].empty())
        return;
    const ServerName *server = findServer(model);
    if (!server && makeRoom(model))
        server = findServer(model);
    if (server)
        add(model, *server);
    else
        m_unplaced.push_back(model.name);
}

// The new version is loaded beside the old ones; once it is ready they are changed one after the
// other. Without room for that, one copy is changed in place, which a model with a single copy
// feels.
void PlacementPlanner::changeVersion(const ModelEntry &model)
{
    Copies &copies = m_plan.models[model.name];
    const auto old = findOld(model, copies);
    if (old == copies.end())
        return;
    if (!hasVersion(copies, model.version)) {
        const ServerName *server = findServer(model);
        if (!server && copies.size() == 1 && makeRoom(model))
            server = findServer(model);
        if (server)
            add(model, *server);
        else if (copies.size() > 1 || !mayGetRoom(model))
            old->second = model.version;
        return;
    }
    const bool allReady = std::all_of(copies.begin(), copies.end(), [&](const auto &copy) {
        return copy.second != model.version || isReady(model.name, copy.first, copy.second);
    });
    if (!allReady)
        return;
    const std::size_t target = targetOf(model.name);
    if (copies.size() > target)
        remove(model.name, old->first);
    else
        old->second = model.version;
}

// A copy of another version, one that can't answer first: nobody misses it.
PlacementPlanner::Copies::iterator PlacementPlanner::findOld(const ModelEntry &model,
                                                             Copies &copies) const
{
    auto old = copies.end();
    for (auto it = copies.begin(); it != copies.end(); ++it) {
        if (it->second == model.version)
            continue;
        old = it;
        if (!isReady(model.name, it->first, it->second))
            return old;
    }
    return old;
}

void PlacementPlanner::adjustCopies(const ModelEntry &model)
{
    const std::size_t target = targetOf(model.name);
    const Copies &copies = m_plan.models[model.name];
    if (copies.size() < target && m_underWay < m_input.loadsInFlight) {
        if (const ServerName *server = findServer(model)) {
            add(model, *server);
            ++m_underWay;
        }
        return;
    }
    // One at a time, and only while all the others can answer.
    if (copies.size() > target && readyCopies(model.name) == copies.size()) {
        const auto fullest
            = std::min_element(copies.begin(), copies.end(), [this](const auto &a, const auto &b) {
                  return m_room.at(a.first) < m_room.at(b.first);
              });
        remove(model.name, fullest->first);
    }
}

// Gives up spare copies of other models on one server.
bool PlacementPlanner::makeRoom(const ModelEntry &model)
{
    const Megabytes needed = m_bundles.at(model.name);
    for (const auto &[server, names] : spares([this](const ModelName &name, const auto &copy) {
             return isDispensable(name, copy.first, copy.second);
         })) {
        if (holds(model.name, server) || roomWithout(names, server) < needed)
            continue;
        for (const ModelName &it : names) {
            if (m_room.at(server) < needed)
                remove(it, server);
        }
        return true;
    }
    return false;
}

// Whether some server will have room once copies that can't be given up yet are ready elsewhere.
bool PlacementPlanner::mayGetRoom(const ModelEntry &model) const
{
    const auto all = spares([](const ModelName &, const auto &) { return true; });
    return std::any_of(all.begin(), all.end(), [&](const auto &entry) {
        return !holds(model.name, entry.first)
            && roomWithout(entry.second, entry.first) >= m_bundles.at(model.name);
    });
}

// Copies beyond the first of their model that \a accepts says yes to, by server.
std::map<ServerName, std::vector<ModelName>>
PlacementPlanner::spares(const SpareFilter &accepts) const
{
    std::map<ServerName, std::vector<ModelName>> found;
    for (const auto &[name, copies] : m_plan.models) {
        if (copies.size() < 2)
            continue;
        for (const auto &copy : copies) {
            if (accepts(name, copy))
                found[copy.first].push_back(name);
        }
    }
    return found;
}

Megabytes PlacementPlanner::roomWithout(const std::vector<ModelName> &names,
                                        const ServerName &server) const
{
    Megabytes room = m_room.at(server);
    for (const ModelName &it : names)
        room += m_bundles.at(it);
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
    return readyCopies(model) > (isReady(model, server, version) ? 1U : 0U);
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
    if (known == m_input.servers.end() || !known->second.usable)
        return false;
    const auto it = known->second.ready.find(model.text());
    return it != known->second.ready.end() && it->second == version;
}

std::size_t PlacementPlanner::readyCopies(const ModelName &model) const
{
    const Copies &copies = m_plan.models.at(model);
    return static_cast<std::size_t>(
        std::count_if(copies.begin(), copies.end(),
                      [&](const auto &copy) { return isReady(model, copy.first, copy.second); }));
}

std::size_t PlacementPlanner::targetOf(const ModelName &model) const
{
    const auto wanted = m_input.wantedCopies.find(model);
    return wanted == m_input.wantedCopies.end() ? 1 : std::max<std::size_t>(1, wanted->second);
}

std::size_t PlacementPlanner::copiesUnderWay() const
{
    std::size_t n = 0;
    for (const auto &[model, copies] : m_plan.models)
        n += copies.size() - readyCopies(model);
    return n;
}

// A zone with the fewest copies of the model first, then the server with the most room. Servers
// are kept in the order of their room by zone, so that a search looks at few of them.
const ServerName *PlacementPlanner::findServer(const ModelEntry &model) const
{
    const Megabytes needed = m_bundles.at(model.name);
    std::map<ZoneName, std::size_t> copiesInZone;
    const auto known = m_plan.models.find(model.name);
    if (known != m_plan.models.end()) {
        for (const auto &[server, version] : known->second)
            ++copiesInZone[m_input.servers.at(server).zone];
    }
    const ServerName *best = nullptr;
    std::pair<std::size_t, Megabytes> bestRank;
    for (const auto &[zone, rooms] : m_byRoom) {
        const auto free = std::find_if(rooms.rbegin(), rooms.rend(), [&](const auto &entry) {
            return entry.first < needed || !holds(model.name, entry.second);
        });
        if (free == rooms.rend() || free->first < needed)
            continue;
        const auto copies = copiesInZone.find(zone);
        // Fewer copies in the zone, then more room, is the lower rank.
        const std::pair rank(copies == copiesInZone.end() ? 0 : copies->second,
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

void PlacementPlanner::add(const ModelEntry &model, const ServerName &server)
{
    m_plan.models[model.name][server] = model.version;
    changeRoom(server, Megabytes() - m_bundles.at(model.name));
}

void PlacementPlanner::remove(const ModelName &model, const ServerName &server)
{
    changeRoom(server, m_bundles.at(model));
    m_plan.models[model].erase(server);
}

} // namespace quetzalyoke
