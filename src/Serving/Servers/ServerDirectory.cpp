#include "Serving/Servers/ServerDirectory.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace quetzalyoke {

namespace {

// Time until the platform's list shows the result of an order: a heartbeat interval and the lag of
// the list.
constexpr Duration changeRetention = std::chrono::seconds(4);

// A leaving server is remembered this long after its entry is gone. Sources that lag by more have
// been read again by then.
constexpr Duration leavingRetention = std::chrono::minutes(5);

// Part of the rate for a cold server from which the own shares are computed, so that these are 0.15
// of it together. The number that falls into one second is random, and seconds are short: with 0.3
// little is left of what the platform tolerates beside the issuer's permits.
constexpr double coldOwnSharePart = 0.5;

// No server is cold for longer after its entry is gone.
constexpr Duration endedRetention = std::chrono::minutes(10);
// What a server has said is remembered this long after its entry is gone.
constexpr Duration removedRetention = std::chrono::minutes(5);

void add(const ServerWork &work, ServerWork &total)
{
    total.requestsInFlight += work.requestsInFlight;
    total.prefillTokens += work.prefillTokens;
    total.kvCacheTokens += work.kvCacheTokens;
}

void subtract(const ServerWork &work, ServerWork &total)
{
    total.requestsInFlight -= work.requestsInFlight;
    total.prefillTokens -= work.prefillTokens;
    total.kvCacheTokens -= work.kvCacheTokens;
}

void apply(const LoadedModelChange &change, LoadedModels &loadedModels)
{
    if (change.adapter.isEmpty()) {
        if (change.isLoad)
            loadedModels[change.model];
        else
            loadedModels.erase(change.model);
        return;
    }
    const auto loadedModel = loadedModels.find(change.model);
    if (loadedModel == loadedModels.end())
        return;
    if (change.isLoad)
        loadedModel->second.insert(change.adapter);
    else
        loadedModel->second.erase(change.adapter);
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
    const auto estimated = loadEstimator.estimatedRequests(now);
    if (!estimated)
        return totalWork().requestsInFlight;
    return std::max(*estimated, static_cast<double>(ownWork.requestsInFlight));
}

bool ServerState::isCold(Instant now) const
{
    return coldRate.perSecond() > 0 && coldPeriod.isCold(now);
}

std::optional<RequestRate> ServerState::coldRequestRate(Instant now) const
{
    if (coldRate.perSecond() <= 0)
        return {};
    return coldPeriod.requestRate(coldRate, now);
}

std::optional<RequestRate> ServerState::requestRate(Instant now) const
{
    const auto cold = coldRequestRate(now);
    const auto &stated = requestLimit.limit();
    if (cold && stated)
        return std::min(*cold, *stated);
    return cold ? cold : stated;
}

RequestRate ServerState::ownShareLimit(Instant now) const
{
    const auto &stated = requestLimit.limit();
    const auto cold = coldRequestRate(now);
    if (!cold)
        return stated.value_or(RequestRate());
    const RequestRate part(cold->perSecond() * coldOwnSharePart);
    return stated ? std::min(part, *stated) : part;
}

Instant ServerState::limitBeganAt(Instant now) const
{
    const Instant coldSince = coldRequestRate(now) ? coldPeriod.beganAt() : Instant();
    return requestLimit.limit() ? std::max(coldSince, requestLimit.beganAt()) : coldSince;
}

RequestPermitIssuer::LimitedServer ServerState::limitedServer(Instant now) const
{
    return {listed.id,
            listed.incarnation,
            requestLimit.limit(),
            requestLimit.beganAt(),
            coldRequestRate(now),
            coldPeriod.beganAt()};
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
    const bool isReplaced = state.listed.id != server.id
        || state.listed.incarnation != server.incarnation || state.listed.address != server.address;
    if (isReplaced && state.listed.incarnation > server.incarnation)
        return; // a late entry of an earlier incarnation
    if (isReplaced) {
        // Work sent to the earlier incarnation counts until its requests end.
        const ServerWork own = state.ownWork;
        state.health = ServerHealth();
        state.health.reset(now);
        state.ownWork = own;
        state.loadEstimator = ServerLoadEstimator();
        state.pace = ServerPace();
        state.peerTokensSent = 0;
        state.pausedUntil = Instant();
        state.peerPausedUntil = Instant();
        state.requestLimit = StatedRequestLimit();
        state.permits = RequestPermits();
        restoreRemoved(state, server);
        clearPeerWork(serverHash(server.id));
    }
    const bool isNextIncarnation
        = state.listed.id != server.id || state.listed.incarnation != server.incarnation;
    // An entry from a copy of the list may be older than the announcement.
    if (server.isLeaving)
        recordLeaving(server.id, server.incarnation);
    setListed(state, server);
    updateColdPeriod(state, isNextIncarnation, now);
    state.isEvacuated = m_evacuatedZones.contains(server.zone);
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

// Without a statement, a server that has just started counts as cold. Servers of the first read of
// the list have been running for an unknown time; peers tell which of them have just started.
void ServerDirectory::updateColdPeriod(ServerState &state, bool isReplaced, Instant now)
{
    const auto rule = m_coldRules.find(state.listed.service);
    state.coldRate = rule == m_coldRules.end() ? RequestRate() : rule->second.rate;
    if (isReplaced) {
        state.coldPeriod = ColdPeriod();
        state.wasCold = false;
        const auto ended = m_endedServers.find(state.listed.id);
        const bool isKnown = ended != m_endedServers.end()
            && ended->second.incarnation == state.listed.incarnation;
        if (isKnown)
            state.coldPeriod = ended->second.coldPeriod;
        else if (!state.listed.coldTime && m_isListRead && rule != m_coldRules.end())
            state.coldPeriod.recordStart(rule->second.startTime, now);
        if (ended != m_endedServers.end())
            m_endedServers.erase(ended);
    }
    if (state.listed.coldTime)
        state.coldPeriod.recordEntry(*state.listed.coldTime, now);
}

void ServerDirectory::setColdRules(std::map<ServiceName, ColdRule> rules)
{
    m_coldRules = std::move(rules);
    for (auto &[id, state] : m_servers) {
        const auto rule = m_coldRules.find(state.listed.service);
        state.coldRate = rule == m_coldRules.end() ? RequestRate() : rule->second.rate;
    }
}

bool ServerDirectory::recordProcessEnd(const ServerName &id, Incarnation incarnation, Instant now)
{
    ServerState *server = find(id);
    if (!server || server->listed.incarnation != incarnation)
        return false;
    const auto rule = m_coldRules.find(server->listed.service);
    return rule != m_coldRules.end() && server->coldPeriod.recordEnd(rule->second.startTime, now);
}

bool ServerDirectory::applyEvacuation(const ZoneName &zone, EvacuationChange change, Instant now)
{
    const bool isChanged = m_evacuatedZones.apply(zone, change, now);
    updateZones();
    return isChanged;
}

std::vector<ZoneName> ServerDirectory::removeExpiredEvacuations(Instant now)
{
    const std::vector<ZoneName> zones = m_evacuatedZones.removeExpired(now);
    if (!zones.empty())
        updateZones();
    return zones;
}

void ServerDirectory::updateZones()
{
    for (auto &[id, state] : m_servers)
        state.isEvacuated = m_evacuatedZones.contains(state.listed.zone);
}

void ServerDirectory::remove(const ServerName &id, Instant now)
{
    const auto it = m_servers.find(id);
    if (it == m_servers.end())
        return;
    const bool isOutage = m_listOutageUntil && now < *m_listOutageUntil + m_gracePeriod;
    if (isOutage && !it->second.listed.isLeaving) {
        if (!it->second.unlistedSince)
            it->second.unlistedSince = now;
        return;
    }
    erase(it, now);
}

void ServerDirectory::erase(Servers::iterator it, Instant now)
{
    ServerState &state = it->second;
    m_endedServers[it->first] = {state.listed.incarnation, state.coldPeriod, now};
    remember(state, now);
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

void ServerDirectory::remember(const ServerState &state, Instant now)
{
    const auto [it, isNew] = m_removedServers.try_emplace(state.listed.id);
    ServerState &known = it->second.state;
    const ServerWork earlierWork = known.ownWork;
    // A late entry of an earlier incarnation may come and go after the one that is remembered.
    if (isNew || known.listed.incarnation <= state.listed.incarnation)
        known = state;
    else
        known.ownWork = state.ownWork;
    add(earlierWork, known.ownWork);
    it->second.removedAt = now;
}

// Work counts until its requests end, whatever incarnation they were sent to. The rest holds for
// the incarnation that said it.
void ServerDirectory::restoreRemoved(ServerState &state, const ListedServer &server)
{
    const auto it = m_removedServers.find(server.id);
    if (it == m_removedServers.end())
        return;
    ServerState &known = it->second.state;
    add(std::exchange(known.ownWork, {}), state.ownWork);
    if (known.listed.incarnation > server.incarnation)
        return;
    if (known.listed.incarnation == server.incarnation && known.listed.address == server.address) {
        state.pausedUntil = known.pausedUntil;
        state.peerPausedUntil = known.peerPausedUntil;
        state.requestLimit = known.requestLimit;
        state.permits = known.permits;
    }
    m_removedServers.erase(it);
}

void ServerDirectory::removeExpiredRemoved(Instant now)
{
    std::erase_if(m_removedServers, [now](const auto &entry) {
        return now - entry.second.removedAt > removedRetention
            && entry.second.state.ownWork.requestsInFlight == 0;
    });
}

void ServerDirectory::releaseWork(const ServerName &id, const ServerWork &work)
{
    if (ServerState *server = find(id)) {
        subtract(work, server->ownWork);
        return;
    }
    const auto it = m_removedServers.find(id);
    if (it != m_removedServers.end())
        subtract(work, it->second.state.ownWork);
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

void ServerDirectory::dropGrantedPermits()
{
    for (auto &[id, server] : m_servers)
        server.permits.dropGranted();
}

std::vector<LeavingServer> ServerDirectory::unlistedLeavingServers() const
{
    std::vector<LeavingServer> leavingServers;
    for (const auto &[id, record] : m_leavingServers) {
        const auto it = m_servers.find(id);
        if (record.isListedLeaving || it == m_servers.end()
            || it->second.listed.incarnation != record.incarnation)
            continue;
        leavingServers.push_back({id, record.incarnation});
    }
    return leavingServers;
}

void ServerDirectory::removeExpiredLeaving(Instant now)
{
    for (auto it = m_leavingServers.begin(); it != m_leavingServers.end();) {
        const auto server = m_servers.find(it->first);
        const bool isListed = server != m_servers.end()
            && server->second.listed.incarnation == it->second.incarnation;
        if (!isListed && !it->second.unlistedSince)
            it->second.unlistedSince = now;
        const bool isExpired = !isListed && now - *it->second.unlistedSince > leavingRetention;
        it = isExpired ? m_leavingServers.erase(it) : std::next(it);
    }
}

std::vector<ListedServer> ServerDirectory::removeExpired(Instant now)
{
    removeExpiredLeaving(now);
    removeExpiredRemoved(now);
    for (auto it = m_pendingChanges.begin(); it != m_pendingChanges.end();) {
        const auto server = m_servers.find(it->first);
        if (server != m_servers.end())
            applyPendingChanges(server->second, now);
        it = it->second.empty() ? m_pendingChanges.erase(it) : std::next(it);
    }
    std::vector<ListedServer> expired;
    for (const auto &[id, server] : m_servers) {
        if (!server.unlistedSince
            || (m_listOutageUntil && now < *m_listOutageUntil + m_gracePeriod))
            continue;
        expired.push_back(server.listed);
    }
    for (const ListedServer &it : expired)
        erase(m_servers.find(it.id), now);
    std::erase_if(m_endedServers,
                  [now](const auto &entry) { return now - entry.second.endedAt > endedRetention; });
    return expired;
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

void ServerDirectory::addLoadedModelChange(const LoadedModelChange &change, Instant now)
{
    const auto it = m_servers.find(change.server);
    if (it == m_servers.end() || it->second.listed.incarnation != change.incarnation)
        return;
    auto &changes = m_pendingChanges[change.server];
    const AdapterKey key(change.model, change.adapter);
    const auto known = changes.find(key);
    if (known != changes.end() && known->second.change.acceptedOrders >= change.acceptedOrders)
        return;
    changes[key] = {change, now + changeRetention};
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
        // The entry of a model has no adapter name and so sorts before those of its adapters.
        for (const auto &[key, pending] : known->second)
            apply(pending.change, server.loadedModels);
    }
    indexLoadedModels(server);
}

void ServerDirectory::setPeerWork(const InstanceId &peer, const WorkByServerHash &work, Instant now)
{
    WorkByServerHash &known = m_peerWork[peer];
    const auto replaceWork
        = [this, now](std::int32_t hash, const ServerWork &from, const ServerWork &to) {
              const auto [first, last] = m_byHash.equal_range(hash);
              for (auto it = first; it != last; ++it) {
                  ServerWork &total = it->second->peerWork;
                  total.requestsInFlight += to.requestsInFlight - from.requestsInFlight;
                  total.prefillTokens += to.prefillTokens - from.prefillTokens;
                  total.kvCacheTokens += to.kvCacheTokens - from.kvCacheTokens;
                  it->second->peerTokensSent
                      += std::max<std::int64_t>(0, to.kvCacheTokens - from.kvCacheTokens);
                  it->second->peerWorkAt = std::max(it->second->peerWorkAt, now);
              }
          };
    for (const auto &[hash, before] : known) {
        if (work.count(hash) == 0)
            replaceWork(hash, before, {});
    }
    for (const auto &[hash, current] : work) {
        const auto before = known.find(hash);
        replaceWork(hash, before == known.end() ? ServerWork() : before->second, current);
    }
    if (work.empty())
        m_peerWork.erase(peer);
    else
        known = work;
}

// Drops what peers reported for an earlier incarnation. Nothing is counted for a new server yet.
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
