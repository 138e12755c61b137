#ifndef QUETZALYOKE_ADAPTERS_ASYNC_CONNECTIONPOOL_H
#define QUETZALYOKE_ADAPTERS_ASYNC_CONNECTIONPOOL_H

#include "Adapters/Async/ClientConnection.h"

#include <deque>
#include <map>

namespace quetzalyoke {

/// \brief Kept connections to servers, by address.
class ConnectionPool
{
public:
    /// Keeps at most \a idleLimit idle connections to one address; 0: any number.
    ConnectionPool(asio::io_context &loop, const ClientConnection::Limits &limits,
                   std::size_t idleLimit = 0);

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
    const std::size_t m_idleLimit;
    std::shared_ptr<Idle> m_idle;
};

} // namespace quetzalyoke

#endif
