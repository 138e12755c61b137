#include "Adapters/Async/HttpConnectionPool.h"

#include <algorithm>

namespace quetzalyoke {

HttpConnectionPool::HttpConnectionPool(asio::io_context &loop,
                                       const HttpClientConnection::Limits &limits,
                                       std::size_t idleLimit)
    : m_loop(loop), m_limits(limits), m_idleLimit(idleLimit), m_idle(std::make_shared<Idle>())
{ }

std::shared_ptr<HttpClientConnection> HttpConnectionPool::acquire(const std::string &address,
                                                                  const Connections &avoided)
{
    auto &idle = (*m_idle)[address];
    const auto isAvoided = [&avoided](const std::shared_ptr<HttpClientConnection> &connection) {
        return std::any_of(avoided.begin(), avoided.end(),
                           [&](const auto &it) { return it.lock() == connection; });
    };
    // Those go back behind the others.
    const auto firstAvoided = std::stable_partition(idle.begin(), idle.end(),
                                                    [&](const auto &it) { return !isAvoided(it); });
    const std::vector<std::shared_ptr<HttpClientConnection>> kept(firstAvoided, idle.end());
    idle.erase(firstAvoided, idle.end());
    const auto connection = acquireIdle(idle);
    idle.insert(idle.begin(), kept.begin(), kept.end());
    return connection ? connection : connect(address);
}

bool HttpConnectionPool::reacquire(const std::string &address,
                                   const std::shared_ptr<HttpClientConnection> &connection)
{
    return std::erase((*m_idle)[address], connection) > 0 && connection->isReusable();
}

std::shared_ptr<HttpClientConnection> HttpConnectionPool::acquireIdle(IdleConnections &idle)
{
    const Instant now = steadyNow();
    // The connection that became idle last is the least likely to be closed by its server now.
    while (!idle.empty()) {
        const auto connection = idle.back();
        idle.pop_back();
        if (connection->isClosed())
            continue;
        // The server may have closed it without the loop having noticed yet.
        if (connection->idleExpiresAt() > now && connection->isReusable())
            return connection;
        connection->close();
    }
    return nullptr;
}

std::shared_ptr<HttpClientConnection> HttpConnectionPool::connect(const std::string &address)
{
    // The caller's own request is counted already.
    for (std::size_t idle = idleCount();
         m_slots && idle > 0 && m_slots->amount + idle > m_slots->limit; --idle)
        closeOldestIdleConnection();
    const auto connection
        = std::make_shared<HttpClientConnection>(m_loop, Address::parse(address), m_limits);
    const std::weak_ptr<Idle> pool = m_idle;
    connection->setIdleHook([pool, address, limit = m_idleLimit](
                                const std::shared_ptr<HttpClientConnection> &idleConnection) {
        const auto it = pool.lock();
        if (!it || (limit > 0 && (*it)[address].size() >= limit))
            idleConnection->close();
        else
            (*it)[address].push_back(idleConnection);
    });
    return connection;
}

void HttpConnectionPool::closeExpiredConnections(Instant now)
{
    for (auto &[address, idle] : *m_idle) {
        std::deque<std::shared_ptr<HttpClientConnection>> kept;
        for (const auto &connection : idle) {
            if (connection->isClosed())
                continue;
            if (connection->idleExpiresAt() > now)
                kept.push_back(connection);
            else
                connection->close();
        }
        idle.swap(kept);
    }
    std::erase_if(*m_idle, [](const auto &entry) { return entry.second.empty(); });
}

void HttpConnectionPool::closeOldestIdleConnection()
{
    IdleConnections *oldest = nullptr;
    for (auto &[address, idle] : *m_idle) {
        if (!idle.empty()
            && (!oldest || idle.front()->idleExpiresAt() < oldest->front()->idleExpiresAt()))
            oldest = &idle;
    }
    const auto connection = oldest->front();
    oldest->pop_front();
    connection->close();
}

void HttpConnectionPool::closeIdleConnections(const std::string &address)
{
    const auto it = m_idle->find(address);
    if (it == m_idle->end())
        return;
    const auto idle = std::exchange(it->second, {});
    for (const auto &connection : idle)
        connection->close();
}

void HttpConnectionPool::closeAllIdleConnections()
{
    std::vector<std::string> addresses;
    for (const auto &entry : *m_idle)
        addresses.push_back(entry.first);
    for (const std::string &address : addresses)
        closeIdleConnections(address);
}

std::size_t HttpConnectionPool::idleCount() const
{
    std::size_t n = 0;
    for (const auto &entry : *m_idle)
        n += entry.second.size();
    return n;
}

} // namespace quetzalyoke
