#include "Serving/ServerBook.h"

#include <xxhash.h>

#include <algorithm>

namespace quetzalyoke {

namespace {

// By then the platform's list shows what an order has changed: a heartbeat and its own lag.
constexpr Duration noticeLifetime = std::chrono::seconds(4);

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
        state = ServerState();
        state.hash = serverHash(server.id);
        state.own = own;
        state.health.reset(now);
    }
    state.listed = server;
    state.missingSince.reset();
    applyNotices(state, now);
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
    m_servers.erase(it);
    m_notices.erase(id);
}

std::vector<ServerName> ServerBook::expire(Instant now)
{
    for (auto &[id, server] : m_servers)
        applyNotices(server, now);
    std::vector<ServerName> gone;
    for (const auto &[id, server] : m_servers) {
        if (!server.missingSince || (m_outageUntil && now < *m_outageUntil + m_lapseGrace))
            continue;
        gone.push_back(id);
    }
    for (const ServerName &id : gone) {
        m_servers.erase(id);
        m_notices.erase(id);
    }
    return gone;
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
    server.holdings = server.listed.holdings;
    auto &notices = m_notices[server.listed.id];
    std::erase_if(notices, [&](const auto &entry) {
        return entry.second.notice.incarnation != server.listed.incarnation
            || now > entry.second.until;
    });
    // A model sorts before its adapters, since its own entry names none.
    for (const auto &[key, noticed] : notices) {
        const auto &[model, adapter] = key;
        if (adapter.isEmpty()) {
            if (noticed.notice.isLoad)
                server.holdings[model];
            else
                server.holdings.erase(model);
            continue;
        }
        const auto holding = server.holdings.find(model);
        if (holding == server.holdings.end())
            continue;
        if (noticed.notice.isLoad)
            holding->second.insert(adapter);
        else
            holding->second.erase(adapter);
    }
}

void ServerBook::setPeerWork(const InstanceId &peer, const std::map<std::int32_t, ServerWork> &work)
{
    for (auto &[id, server] : m_servers) {
        const auto it = work.find(server.hash);
        const ServerWork now = it == work.end() ? ServerWork() : it->second;
        ServerWork &known = server.peers[peer];
        server.peersTotal.running += now.running - known.running;
        server.peersTotal.prefillTokens += now.prefillTokens - known.prefillTokens;
        server.peersTotal.memoryTokens += now.memoryTokens - known.memoryTokens;
        known = now;
    }
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
