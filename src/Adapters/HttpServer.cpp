#include "Adapters/HttpServer.h"

#include "Adapters/Metrics.h"
#include "Adapters/internal/OnDemandThreadPool.h"
#include "Core/Error.h"

namespace quetzalyoke {

namespace {

constexpr std::size_t maxKeepAliveRequests = 1'000'000'000;
constexpr std::size_t maxHeaderBytes = 65'536; // of one request, in addition to its body

} // namespace

HttpServer::HttpServer(const HttpServerLimits &limits)
    : m_server({limits.bodyBytes + maxHeaderBytes, limits.requestTimeout, limits.writeTimeout})
{
    const auto n = static_cast<std::size_t>(limits.connections);
    m_server.new_task_queue = [n] { return new internal::OnDemandThreadPool(n); };
    m_server.set_tcp_nodelay(true);
    m_server.set_keep_alive_max_count(maxKeepAliveRequests);
    m_server.set_payload_max_length(limits.bodyBytes);
}

HttpServer::~HttpServer()
{
    stop();
}

void HttpServer::listen(const Address &address)
{
    if (address.port == 0)
        m_port = m_server.bind_to_any_port(address.host);
    else
        m_port = m_server.bind_to_port(address.host, address.port) ? address.port : -1;
    if (m_port <= 0) {
        throw Error(ErrorKind::BadSettings,
                    "can't listen on " + address.text() + "; choose a free address");
    }
    m_server.setBacklog(listenBacklog);
    m_thread = std::thread([this] { m_server.listen_after_bind(); });
    while (!m_server.is_running())
        std::this_thread::yield();
}

void HttpServer::stop()
{
    if (!m_thread.joinable())
        return;
    m_server.stop();
    m_thread.join();
}

void HttpServer::addHealthRoutes(const std::function<bool()> &isReady)
{
    m_server.Get("/healthz", [](const httplib::Request &, httplib::Response &res) {
        res.set_content("ok\n", "text/plain");
    });
    m_server.Get("/readyz", [isReady](const httplib::Request &, httplib::Response &res) {
        const bool ready = isReady();
        res.status = ready ? 200 : 503;
        res.set_content(ready ? "ready\n" : "not ready\n", "text/plain");
    });
    m_server.Get("/metrics", [](const httplib::Request &, httplib::Response &res) {
        res.set_content(Metrics::text(), "text/plain; version=0.0.4");
    });
}

} // namespace quetzalyoke
