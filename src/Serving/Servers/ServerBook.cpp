#include "Serving/Servers/ServerBook.h"

#include <xxhash.h>

#include <algorithm>

namespace quetzalyoke {

namespace {

// By then the platform's list shows what an order has changed: a heartbeat and its own lag.
constexpr Duration noticeLifetime = std::chrono::seconds(4);

// A departure is remembered this long after the server's entry has gone: sources that lag by more
// have been asked anew by then.
constexpr Duration departureMemory = std::chrono::minutes(5);

void apply(const OrderNotice &notice, Holdings &holdings)
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

ServerWork ServerState::total() const
{
    return {own.running + peersTotal.running, own.prefillTokens + peersTotal.prefillTokens,
            own.memoryTokens + peersTotal.memoryTokens};
}

double ServerState::plainLoad(Instant now) const
{
    const auto predicted = load.predicted(now);
    if (!predicted)
        return total().running;
    return std::max(*predicted, static_cast<double>(own.running));
}

bool ServerState::holds(const ModelName &model, const AdapterName &adapter) const
{
    const auto it = holdings.find(model);
    if (it == holdings.end())
        return false;
    return adapter.isEmpty() || it->second.count(adapter) > 0;
}

void ServerBook::put(const ListedServer &server, Instant now)
{
    auto &state = m_servers[server.id];
    const bool isOther = state.listed.id != server.id
        || state.listed.incarnation != server.incarnation || state.listed.address != server.address;
    if (isOther && state.listed.incarnation > server.incarnation)
        return; // a late entry of an earlier life
    if (isOther) {
        // Work sent to the earlier life is counted there until its exchanges end.
        const ServerWork own = state.own;
        state.health = ServerHealth();
        state.health.reset(now);
        state.own = own;
        state.load = ServerLoad();
        state.pausedUntil = Instant();
        state.peerPausedUntil = Instant();
        forgetPeerWork(serverHash(server.id));
    }
    takeListed(state, server);
    state.missingSince.reset();
    applyNotices(state, now);
}

void ServerBook::takeListed(ServerState &state, const ListedServer &server)
{
    const bool isNew = state.listed.id.isEmpty();
    if (!isNew)
        m_serving[state.listed.service].erase(&state);
    state.listed = server;
    if (const auto it = m_departed.find(server.id);
        it != m_departed.end() && it->second.incarnation == server.incarnation) {
        it->second.isListedLeaving = server.isLeaving;
        it->second.unlistedAt.reset();
        state.listed.isLeaving = true;
    }
    m_serving[server.service].insert(&state);
    if (!isNew)
        return;
    state.hash = serverHash(server.id);
    m_byHash.emplace(state.hash, &state);
}

void ServerBook::remove(const ServerName &id, Instant now)
{
    const auto it = m_servers.find(id);
    if (it == m_servers.end())
        return;
    const bool isOutage = m_outageUntil && now < *m_outageUntil + m_lapseGrace;
    if (isOutage && !it->second.listed.isLeaving) {
        if (!it->second.missingSince)
            it->second.missingSince = now;
        return;
    }
    erase(it);
}

void ServerBook::erase(Servers::iterator it)
{
    ServerState &state = it->second;
    removeHoldings(state);
    m_serving[state.listed.service].erase(&state);
    const auto [first, last] = m_byHash.equal_range(state.hash);
    const auto entry
        = std::find_if(first, last, [&state](const auto &known) { return known.second == &state; });
    if (entry != last)
        m_byHash.erase(entry);
    m_notices.erase(it->first);
    m_servers.erase(it);
}

bool ServerBook::noteLeaving(const ServerName &id, Incarnation incarnation)
{
    const auto server = m_servers.find(id);
    const bool isListed = server != m_servers.end();
    if (isListed && incarnation < server->second.listed.incarnation)
        return false;
    const auto [it, isNew] = m_departed.try_emplace(id);
    if (!isNew && it->second.incarnation >= incarnation)
        return false;
    it->second = {incarnation, {}, false};
    if (!isListed || server->second.listed.incarnation != incarnation)
        return true;
    const bool wasLeaving = std::exchange(server->second.listed.isLeaving, true);
    it->second.isListedLeaving = wasLeaving;
    return !wasLeaving;
}

bool ServerBook::notePause(const ServerName &id, Incarnation incarnation, Instant until)
{
    ServerState *server = find(id);
    if (!server || server->listed.incarnation != incarnation || until <= server->pausedUntil)
        return false;
    server->pausedUntil = until;
    return true;
}

void ServerBook::notePeerPause(const ServerName &id, Incarnation incarnation, Instant until)
{
    ServerState *server = find(id);
    if (server && server->listed.incarnation == incarnation)
        server->peerPausedUntil = std::max(server->peerPausedUntil, until);
}

std::vector<Departure> ServerBook::unlistedDepartures() const
{
    std::vector<Departure> departures;
    for (const auto &[id, departed] : m_departed) {
        const auto it = m_servers.find(id);
        if (departed.isListedLeaving || it == m_servers.end()
            || it->second.listed.incarnation != departed.incarnation)
            continue;
        departures.push_back({id, departed.incarnation});
    }
    return departures;
}

void ServerBook::expireDepartures(Instant now)
{
    for (auto it = m_departed.begin(); it != m_departed.end();) {
        const auto server = m_servers.find(it->first);
        const bool isListed = server != m_servers.end()
            && server->second.listed.incarnation == it->second.incarnation;
        if (!isListed && !it->second.unlistedAt)
            it->second.unlistedAt = now;
        const bool isOver = !isListed && now - *it->second.unlistedAt > departureMemory;
        it = isOver ? m_departed.erase(it) : std::next(it);
    }
}

std::vector<ServerName> ServerBook::expire(Instant now)
{
    expireDepartures(now);
    for (auto it = m_notices.begin(); it != m_notices.end();) {
        const auto server = m_servers.find(it->first);
        if (server != m_servers.end())
            applyNotices(server->second, now);
        it = it->second.empty() ? m_notices.erase(it) : std::next(it);
    }
    std::vector<ServerName> gone;
    for (const auto &[id, server] : m_servers) {
        if (!server.missingSince || (m_outageUntil && now < *m_outageUntil + m_lapseGrace))
            continue;
        gone.push_back(id);
    }
    for (const ServerName &id : gone)
        erase(m_servers.find(id));
    return gone;
}

const ServerBook::Group &ServerBook::serving(const ServiceName &service) const
{
    static const Group none;
    const auto it = m_serving.find(service);
    return it == m_serving.end() ? none : it->second;
}

const ServerBook::Group &ServerBook::holding(const ModelName &model) const
{
    static const Group none;
    const auto it = m_holding.find(model);
    return it == m_holding.end() ? none : it->second;
}

void ServerBook::addHoldings(const ServerState &server)
{
    for (const auto &[model, adapters] : server.holdings)
        m_holding[model].insert(&server);
}

void ServerBook::removeHoldings(const ServerState &server)
{
    for (const auto &[model, adapters] : server.holdings) {
        const auto it = m_holding.find(model);
        it->second.erase(&server);
        if (it->second.empty())
            m_holding.erase(it);
    }
}

void ServerBook::addNotice(const OrderNotice &notice, Instant now)
{
    const auto it = m_servers.find(notice.server);
    if (it == m_servers.end() || it->second.listed.incarnation != notice.incarnation)
        return;
    auto &notices = m_notices[notice.server];
    const Holding key(notice.model, notice.adapter);
    const auto known = notices.find(key);
    if (known != notices.end() && known->second.notice.orders >= notice.orders)
        return;
    notices[key] = {notice, now + noticeLifetime};
    applyNotices(it->second, now);
}

void ServerBook::applyNotices(ServerState &server, Instant now)
{
    removeHoldings(server);
    server.holdings = server.listed.holdings;
    const auto known = m_notices.find(server.listed.id);
    if (known != m_notices.end()) {
        std::erase_if(known->second, [&](const auto &entry) {
            return entry.second.notice.incarnation != server.listed.incarnation
                || now > entry.second.until;
        });
        // A model sorts before its adapters, since its own entry names none.
        for (const auto &[key, noticed] : known->second)
            apply(noticed.notice, server.holdings);
    }
    addHoldings(server);
}

void ServerBook::setPeerWork(const InstanceId &peer, const PeerWork &work)
{
    PeerWork &known = m_peerWork[peer];
    const auto change = [this](std::int32_t hash, const ServerWork &from, const ServerWork &to) {
        const auto [first, last] = m_byHash.equal_range(hash);
        for (auto it = first; it != last; ++it) {
            ServerWork &total = it->second->peersTotal;
            total.running += to.running - from.running;
            total.prefillTokens += to.prefillTokens - from.prefillTokens;
            total.memoryTokens += to.memoryTokens - from.memoryTokens;
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
void ServerBook::forgetPeerWork(std::int32_t hash)
{
    for (auto &[peer, work] : m_peerWork)
        work.erase(hash);
    const auto [first, last] = m_byHash.equal_range(hash);
    for (auto it = first; it != last; ++it)
        it->second->peersTotal = {};
}

ServerState *ServerBook::find(const ServerName &id)
{
    const auto it = m_servers.find(id);
    return it == m_servers.end() ? nullptr : &it->second;
}

const ServerState *ServerBook::find(const ServerName &id) const
{
    const auto it = m_servers.find(id);
    return it == m_servers.end() ? nullptr : &it->second;
}

} // namespace quetzalyoke
