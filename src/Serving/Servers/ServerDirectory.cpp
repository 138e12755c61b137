#include "Serving/Servers/ServerDirectory.h"

#include <xxhash.h>

#include <algorithm>

namespace quetzalyoke {

namespace {

// By then the platform's list shows what an order has changed: a heartbeat and its own lag.
constexpr Duration noticeLifetime = std::chrono::seconds(4);

// A departure is remembered this long after the server's entry has gone: sources that lag by more
// have been asked anew by then.
constexpr Duration departureMemory = std::chrono::minutes(5);

void apply(const LoadedModelChange &notice, LoadedModels &holdings)
{
    if (notice.adapter.isEmpty()) {
        if (notice.isLoad)
            holdings[notice.model];
        else
            holdings.erase(notice.model);
        return;
    }
    const auto holding = holdings.find(notice.model);
    if (holding == holdings.end())
        return;
    if (notice.isLoad)
        holding->second.insert(notice.adapter);
    else
        holding->second.erase(notice.adapter);
}

} // namespace

std::int32_t serverHash(const ServerName &id)
{
    return static_cast<std::int32_t>(XXH32(id.text().data(), id.text().size(), 0));
}

ServerWork ServerState::totalWork() const
{
    return {ownWork.requestsInFlight + peerWork.requestsInFlight,
            ownWork.prefillTokens + peerWork.prefillTokens,
            ownWork.kvCacheTokens + peerWork.kvCacheTokens};
}

double ServerState::estimatedRequests(Instant now) const
{
    const auto predicted = loadEstimator.estimatedRequests(now);
    if (!predicted)
        return totalWork().requestsInFlight;
    return std::max(*predicted, static_cast<double>(ownWork.requestsInFlight));
}

bool ServerState::hasLoaded(const ModelName &model, const AdapterName &adapter) const
{
    const auto it = loadedModels.find(model);
    if (it == loadedModels.end())
        return false;
    return adapter.isEmpty() || it->second.count(adapter) > 0;
}

void ServerDirectory::put(const ListedServer &server, Instant now)
{
    auto &state = m_servers[server.id];
    const bool isOther = state.listed.id != server.id
        || state.listed.incarnation != server.incarnation || state.listed.address != server.address;
    if (isOther && state.listed.incarnation > server.incarnation)
        return; // a late entry of an earlier life
    if (isOther) {
        // Work sent to the earlier life is counted there until its exchanges end.
        const ServerWork own = state.ownWork;
        state.health = ServerHealth();
        state.health.reset(now);
        state.ownWork = own;
        state.loadEstimator = ServerLoadEstimator();
        state.pausedUntil = Instant();
        state.peerPausedUntil = Instant();
        clearPeerWork(serverHash(server.id));
    }
    setListed(state, server);
    state.unlistedSince.reset();
    applyPendingChanges(state, now);
}

void ServerDirectory::setListed(ServerState &state, const ListedServer &server)
{
    const bool isNew = state.listed.id.isEmpty();
    if (!isNew)
        m_serversByService[state.listed.service].erase(&state);
    state.listed = server;
    if (const auto it = m_leavingServers.find(server.id);
        it != m_leavingServers.end() && it->second.incarnation == server.incarnation) {
        it->second.isListedLeaving = server.isLeaving;
        it->second.unlistedSince.reset();
        state.listed.isLeaving = true;
    }
    m_serversByService[server.service].insert(&state);
    if (!isNew)
        return;
    state.idHash = serverHash(server.id);
    m_byHash.emplace(state.idHash, &state);
}

void ServerDirectory::remove(const ServerName &id, Instant now)
{
    const auto it = m_servers.find(id);
    if (it == m_servers.end())
        return;
    const bool isOutage = m_listOutageUntil && now < *m_listOutageUntil + m_lapseGrace;
    if (isOutage && !it->second.listed.isLeaving) {
        if (!it->second.unlistedSince)
            it->second.unlistedSince = now;
        return;
    }
    erase(it);
}

void ServerDirectory::erase(Servers::iterator it)
{
    ServerState &state = it->second;
    unindexLoadedModels(state);
    m_serversByService[state.listed.service].erase(&state);
    const auto [first, last] = m_byHash.equal_range(state.idHash);
    const auto entry
        = std::find_if(first, last, [&state](const auto &known) { return known.second == &state; });
    if (entry != last)
        m_byHash.erase(entry);
    m_pendingChanges.erase(it->first);
    m_servers.erase(it);
}

bool ServerDirectory::recordLeaving(const ServerName &id, Incarnation incarnation)
{
    const auto server = m_servers.find(id);
    const bool isListed = server != m_servers.end();
    if (isListed && incarnation < server->second.listed.incarnation)
        return false;
    const auto [it, isNew] = m_leavingServers.try_emplace(id);
    if (!isNew && it->second.incarnation >= incarnation)
        return false;
    it->second = {incarnation, {}, false};
    if (!isListed || server->second.listed.incarnation != incarnation)
        return true;
    const bool wasLeaving = std::exchange(server->second.listed.isLeaving, true);
    it->second.isListedLeaving = wasLeaving;
    return !wasLeaving;
}

bool ServerDirectory::recordPause(const ServerName &id, Incarnation incarnation, Instant until)
{
    ServerState *server = find(id);
    if (!server || server->listed.incarnation != incarnation || until <= server->pausedUntil)
        return false;
    server->pausedUntil = until;
    return true;
}

void ServerDirectory::recordPeerPause(const ServerName &id, Incarnation incarnation, Instant until)
{
    ServerState *server = find(id);
    if (server && server->listed.incarnation == incarnation)
        server->peerPausedUntil = std::max(server->peerPausedUntil, until);
}

std::vector<LeavingServer> ServerDirectory::unlistedLeavingServers() const
{
    std::vector<LeavingServer> departures;
    for (const auto &[id, departed] : m_leavingServers) {
        const auto it = m_servers.find(id);
        if (departed.isListedLeaving || it == m_servers.end()
            || it->second.listed.incarnation != departed.incarnation)
            continue;
        departures.push_back({id, departed.incarnation});
    }
    return departures;
}

void ServerDirectory::removeExpiredLeaving(Instant now)
{
    for (auto it = m_leavingServers.begin(); it != m_leavingServers.end();) {
        const auto server = m_servers.find(it->first);
        const bool isListed = server != m_servers.end()
            && server->second.listed.incarnation == it->second.incarnation;
        if (!isListed && !it->second.unlistedSince)
            it->second.unlistedSince = now;
        const bool isOver = !isListed && now - *it->second.unlistedSince > departureMemory;
        it = isOver ? m_leavingServers.erase(it) : std::next(it);
    }
}

std::vector<ServerName> ServerDirectory::removeExpired(Instant now)
{
    removeExpiredLeaving(now);
    for (auto it = m_pendingChanges.begin(); it != m_pendingChanges.end();) {
        const auto server = m_servers.find(it->first);
        if (server != m_servers.end())
            applyPendingChanges(server->second, now);
        it = it->second.empty() ? m_pendingChanges.erase(it) : std::next(it);
    }
    std::vector<ServerName> gone;
    for (const auto &[id, server] : m_servers) {
        if (!server.unlistedSince || (m_listOutageUntil && now < *m_listOutageUntil + m_lapseGrace))
            continue;
        gone.push_back(id);
    }
    for (const ServerName &id : gone)
        erase(m_servers.find(id));
    return gone;
}

const ServerDirectory::ServerSet &
ServerDirectory::serversOfService(const ServiceName &service) const
{
    static const ServerSet none;
    const auto it = m_serversByService.find(service);
    return it == m_serversByService.end() ? none : it->second;
}

const ServerDirectory::ServerSet &ServerDirectory::serversWithModel(const ModelName &model) const
{
    static const ServerSet none;
    const auto it = m_serversByModel.find(model);
    return it == m_serversByModel.end() ? none : it->second;
}

void ServerDirectory::indexLoadedModels(const ServerState &server)
{
    for (const auto &[model, adapters] : server.loadedModels)
        m_serversByModel[model].insert(&server);
}

void ServerDirectory::unindexLoadedModels(const ServerState &server)
{
    for (const auto &[model, adapters] : server.loadedModels) {
        const auto it = m_serversByModel.find(model);
        it->second.erase(&server);
        if (it->second.empty())
            m_serversByModel.erase(it);
    }
}

void ServerDirectory::addLoadedModelChange(const LoadedModelChange &notice, Instant now)
{
    const auto it = m_servers.find(notice.server);
    if (it == m_servers.end() || it->second.listed.incarnation != notice.incarnation)
        return;
    auto &notices = m_pendingChanges[notice.server];
    const AdapterKey key(notice.model, notice.adapter);
    const auto known = notices.find(key);
    if (known != notices.end() && known->second.change.acceptedOrders >= notice.acceptedOrders)
        return;
    notices[key] = {notice, now + noticeLifetime};
    applyPendingChanges(it->second, now);
}

void ServerDirectory::applyPendingChanges(ServerState &server, Instant now)
{
    unindexLoadedModels(server);
    server.loadedModels = server.listed.loadedModels;
    const auto known = m_pendingChanges.find(server.listed.id);
    if (known != m_pendingChanges.end()) {
        std::erase_if(known->second, [&](const auto &entry) {
            return entry.second.change.incarnation != server.listed.incarnation
                || now > entry.second.until;
        });
        // A model sorts before its adapters, since its own entry names none.
        for (const auto &[key, noticed] : known->second)
            apply(noticed.change, server.loadedModels);
    }
    indexLoadedModels(server);
}

void ServerDirectory::setPeerWork(const InstanceId &peer, const WorkByServerHash &work)
{
    WorkByServerHash &known = m_peerWork[peer];
    const auto change = [this](std::int32_t hash, const ServerWork &from, const ServerWork &to) {
        const auto [first, last] = m_byHash.equal_range(hash);
        for (auto it = first; it != last; ++it) {
            ServerWork &total = it->second->peerWork;
            total.requestsInFlight += to.requestsInFlight - from.requestsInFlight;
            total.prefillTokens += to.prefillTokens - from.prefillTokens;
            total.kvCacheTokens += to.kvCacheTokens - from.kvCacheTokens;
        }
    };
    for (const auto &[hash, before] : known) {
        if (work.count(hash) == 0)
            change(hash, before, {});
    }
    for (const auto &[hash, now] : work) {
        const auto before = known.find(hash);
        change(hash, before == known.end() ? ServerWork() : before->second, now);
    }
    if (work.empty())
        m_peerWork.erase(peer);
    else
        known = work;
}

// What peers told of an earlier life counts no more; of a new server nothing was counted yet.
void ServerDirectory::clearPeerWork(std::int32_t hash)
{
    for (auto &[peer, work] : m_peerWork)
        work.erase(hash);
    const auto [first, last] = m_byHash.equal_range(hash);
    for (auto it = first; it != last; ++it)
        it->second->peerWork = {};
}

ServerState *ServerDirectory::find(const ServerName &id)
{
    const auto it = m_servers.find(id);
    return it == m_servers.end() ? nullptr : &it->second;
}

const ServerState *ServerDirectory::find(const ServerName &id) const
{
    const auto it = m_servers.find(id);
    return it == m_servers.end() ? nullptr : &it->second;
}

} // namespace quetzalyoke
