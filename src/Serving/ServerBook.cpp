#include "Serving/ServerBook.h"

#include <algorithm>

namespace quetzalyoke {

ServerWork ServerState::total() const
{
    ServerWork sum = own;
    for (const auto &[peer, work] : peers) {
        sum.running += work.running;
        sum.prefillTokens += work.prefillTokens;
        sum.memoryTokens += work.memoryTokens;
    }
    return sum;
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
        state.own = own;
        state.health.reset(now);
    }
    state.listed = server;
    state.missingSince.reset();
    applyNotices(state);
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

void ServerBook::addNotice(const OrderNotice &notice)
{
    const auto it = m_servers.find(notice.server);
    if (it == m_servers.end() || it->second.listed.incarnation != notice.incarnation
        || notice.orders <= it->second.listed.orders)
        return;
    auto &notices = m_notices[notice.server];
    const bool isKnown = std::any_of(notices.begin(), notices.end(), [&](const auto &known) {
        return known.orders == notice.orders && known.model == notice.model
            && known.adapter == notice.adapter;
    });
    if (isKnown)
        return;
    const auto place = std::find_if(notices.begin(), notices.end(), [&](const auto &known) {
        return known.orders > notice.orders;
    });
    notices.insert(place, notice);
    applyNotices(it->second);
}

void ServerBook::applyNotices(ServerState &server)
{
    server.holdings = server.listed.holdings;
    auto &notices = m_notices[server.listed.id];
    std::erase_if(notices, [&server](const OrderNotice &notice) {
        return notice.incarnation != server.listed.incarnation
            || notice.orders <= server.listed.orders;
    });
    for (const OrderNotice &notice : notices) {
        if (notice.adapter.isEmpty()) {
            if (notice.isLoad)
                server.holdings[notice.model];
            else
                server.holdings.erase(notice.model);
            continue;
        }
        const auto model = server.holdings.find(notice.model);
        if (model == server.holdings.end())
            continue;
        if (notice.isLoad)
            model->second.insert(notice.adapter);
        else
            model->second.erase(notice.adapter);
    }
}

void ServerBook::setPeerWork(const InstanceId &peer, const std::map<ServerName, ServerWork> &work)
{
    for (auto &[id, server] : m_servers) {
        const auto it = work.find(id);
        if (it == work.end())
            server.peers.erase(peer);
        else
            server.peers[peer] = it->second;
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
