#ifndef QUETZALYOKE_ADAPTERS_ASYNC_HTTPCONNECTIONPOOL_H
#define QUETZALYOKE_ADAPTERS_ASYNC_HTTPCONNECTIONPOOL_H

#include "Adapters/Async/HttpClientConnection.h"
#include "Adapters/Async/ResourceCharge.h"

#include <deque>
#include <map>
#include <vector>

namespace quetzalyoke {

/// \brief Pool of persistent connections to servers, by address.
class HttpConnectionPool
{
public:
    /// Keeps at most \a idleLimit idle connections to one address; 0 means any number.
    HttpConnectionPool(asio::io_context &loop, const HttpClientConnection::Limits &limits,
                       std::size_t idleLimit = 0);

    /// Closes idle connections so that these and the requests that are counted in \a slots, each of
    /// which may use a connection, stay within its limit together.
    void setRequestSlots(std::shared_ptr<const ResourceCharge::Total> slots)
    {
        m_slots = std::move(slots);
    }

    using Connections = std::vector<std::weak_ptr<HttpClientConnection>>;

    /// Returns a connection that is idle or not yet connected, but none of \a avoided. It goes back
    /// to the pool by itself when it is idle again.
    std::shared_ptr<HttpClientConnection> acquire(const std::string &address,
                                                  const Connections &avoided = {});
    /// Takes \a connection to \a address, which has just become idle, out of the pool. Returns
    /// false if it can't carry another request.
    bool reacquire(const std::string &address,
                   const std::shared_ptr<HttpClientConnection> &connection);
    /// Closes the connections that have been idle for longer than their servers allow.
    void closeExpiredConnections(Instant now);
    /// Closes the idle connections to \a address.
    void closeIdleConnections(const std::string &address);
    void closeAllIdleConnections();
    std::size_t idleCount() const;

private:
    using IdleConnections = std::deque<std::shared_ptr<HttpClientConnection>>;
    using Idle = std::map<std::string, IdleConnections>;

    static std::shared_ptr<HttpClientConnection> acquireIdle(IdleConnections &idle);
    std::shared_ptr<HttpClientConnection> connect(const std::string &address);
    void closeOldestIdleConnection();

    asio::io_context &m_loop;
    const HttpClientConnection::Limits m_limits;
    const std::size_t m_idleLimit;
    std::shared_ptr<Idle> m_idle;
    std::shared_ptr<const ResourceCharge::Total> m_slots;
};

} // namespace quetzalyoke

#endif
