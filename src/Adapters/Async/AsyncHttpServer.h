#ifndef QUETZALYOKE_ADAPTERS_ASYNC_ASYNCHTTPSERVER_H
#define QUETZALYOKE_ADAPTERS_ASYNC_ASYNCHTTPSERVER_H

#include "Adapters/Address.h"
#include "Adapters/Async/HttpServerConnection.h"

#include <unordered_map>

namespace quetzalyoke {

/// \brief Accepts HTTP connections at one address and keeps track of them.
class AsyncHttpServer
{
public:
    struct Hooks
    {
        std::function<void(const HttpServerConnection::Pointer &, HttpRequest &&)> onRequest;
        std::function<HttpServerConnectionLimits()> limits;
        std::function<bool()> isStopping;
        std::function<void(int status, const char *reason)> onRejected;
        /// \sa HttpServerConnection::Hooks for these.
        std::shared_ptr<ReceiveBudget> budget = {};
        std::function<void(const char *reason, std::size_t bytes)> onEvicted = {};
        std::shared_ptr<ResourceCharge::Total> requestSlots = {};
    };

    /// Keeps at most \a maxConnections connections open. A further one replaces the one that has
    /// waited longest for its caller; if all are handling requests, it is closed at once.
    AsyncHttpServer(asio::io_context &loop, std::size_t maxConnections, Hooks hooks);

    /// Throws Error (BadSettings) if it cannot listen at \a address.
    void listen(const Address &address);
    int port() const;
    void stopListening();
    void closeIdleConnections();
    std::size_t connectionCount() const { return m_connections.size(); }
    std::size_t activeRequestCount() const;

private:
    void accept();
    void onAccepted(const SystemErrorCode &ec, Tcp::socket socket);
    bool makeRoom();

    const std::size_t m_maxConnections;
    Tcp::acceptor m_acceptor;
    asio::steady_timer m_acceptRetryTimer;
    std::shared_ptr<const HttpServerConnection::Hooks> m_hooks;
    std::unordered_map<HttpServerConnection *, std::weak_ptr<HttpServerConnection>> m_connections;
};

} // namespace quetzalyoke

#endif
