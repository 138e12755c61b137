#ifndef QUETZALYOKE_ADAPTERS_ASYNC_CONNECTIONPOOL_H
#define QUETZALYOKE_ADAPTERS_ASYNC_CONNECTIONPOOL_H

#include "Adapters/Async/ClientConnection.h"

#include <deque>
#include <map>

namespace quetzalyoke {

/// \brief Kept connections to backend servers, by address.
class ConnectionPool
{
public:
    ConnectionPool(asio::io_context &loop, const ClientConnection::Limits &limits);

    /// A connection that is idle or not yet connected; it returns by itself when it is idle again.
    std::shared_ptr<ClientConnection> acquire(const std::string &address);
    /// Closes what has been idle for longer than its server allows.
    void closeStale(Instant now);
    /// Closes the idle connections to \a address.
    void drop(const std::string &address);
    void dropAll();
    std::size_t idle() const;

private:
    using Idle = std::map<std::string, std::deque<std::shared_ptr<ClientConnection>>>;

    asio::io_context &m_loop;
    const ClientConnection::Limits m_limits;
    std::shared_ptr<Idle> m_idle;
};

} // namespace quetzalyoke

#endif
