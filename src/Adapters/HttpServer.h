#ifndef QUETZALYOKE_ADAPTERS_HTTPSERVER_H
#define QUETZALYOKE_ADAPTERS_HTTPSERVER_H

#include "Adapters/Address.h"
#include "Adapters/internal/DisconnectAwareServer.h"

#include <httplib.h>

#include <functional>
#include <memory>
#include <thread>

namespace quetzalyoke {

/// \brief Bounds of an HTTP server.
struct HttpServerLimits
{
    int connections = 512; ///< Each open connection holds a thread.
    std::size_t bodyBytes = 8U << 20U;
    std::chrono::milliseconds requestTimeout{10'000}; ///< For a request to arrive whole.
    std::chrono::milliseconds writeTimeout{10'000}; ///< For a slow caller to take some bytes.
};

/// \brief A cpp-httplib server with TCP_NODELAY, stated bounds and one thread a connection.
///
/// Connections beyond the bound are refused at once.
class HttpServer
{
public:
    static constexpr int listenBacklog = 1024; ///< Connections that wait to be accepted.

    explicit HttpServer(const HttpServerLimits &limits);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// For adding routes before listen().
    httplib::Server &routes() { return m_server; }
    /// Binds and serves; port 0 picks a free port. Throws Error (BadSettings).
    void listen(const Address &address);
    int port() const { return m_port; }
    void stop();

    /// Whether the caller of the request that the calling thread handles has gone away.
    static bool isCallerDisconnected()
    {
        return internal::DisconnectAwareServer::isCallerDisconnected();
    }

    /// Adds /metrics, /healthz and /readyz; \a isReady decides the last.
    void addHealthRoutes(const std::function<bool()> &isReady);

private:
    internal::DisconnectAwareServer m_server;
    std::thread m_thread;
    int m_port = 0;
};

} // namespace quetzalyoke

#endif
