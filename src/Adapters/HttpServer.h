#ifndef QUETZALYOKE_ADAPTERS_HTTPSERVER_H
#define QUETZALYOKE_ADAPTERS_HTTPSERVER_H

#include "Adapters/Address.h"
#include "Adapters/internal/DisconnectAwareServer.h"

#include <httplib.h>

#include <functional>
#include <memory>
#include <thread>

namespace quetzalyoke {

/// \brief Limits of an HTTP server.
struct HttpServerLimits
{
    int connections = 512; ///< Each open connection uses a thread.
    std::size_t bodyBytes = 8U << 20U;
    std::chrono::milliseconds requestTimeout{10'000}; ///< Until a request has arrived whole.
    std::chrono::milliseconds writeTimeout{10'000}; ///< Until a slow caller accepts more bytes.
};

/// \brief A cpp-httplib server with TCP_NODELAY, limits and one thread per connection.
///
/// Connections beyond the limit are refused at once.
class HttpServer
{
public:
    static constexpr int listenBacklog = 1024; ///< Maximum of connections not accepted yet.

    explicit HttpServer(const HttpServerLimits &limits);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// Returns the server to add routes to, before listen().
    httplib::Server &routes() { return m_server; }
    /// Binds to \a address and starts to serve; port 0 selects a free port. Throws Error
    /// (BadSettings).
    void listen(const Address &address);
    int port() const { return m_port; }
    void stop();

    /// Returns whether the caller whose request this thread handles has disconnected.
    static bool isCallerDisconnected()
    {
        return internal::DisconnectAwareServer::isCallerDisconnected();
    }

    /// Adds /metrics, /healthz and /readyz; \a isReady determines the status of /readyz.
    void addHealthRoutes(const std::function<bool()> &isReady);

private:
    internal::DisconnectAwareServer m_server;
    std::thread m_thread;
    int m_port = 0;
};

} // namespace quetzalyoke

#endif
