#include "Adapters/Async/AsyncHttpServer.h"

#include "Core/Error.h"

#include <glog/logging.h>

namespace quetzalyoke {

namespace {

// Length of the queue of connections to accept. When it is full, the system drops new ones, and
// their callers are delayed by seconds.
constexpr int acceptBacklog = 4096;

// Delay before the next accept after the system lacked a descriptor or memory for a connection.
constexpr std::chrono::milliseconds acceptRetryDelay{20};

} // namespace

AsyncHttpServer::AsyncHttpServer(asio::io_context &loop, std::size_t maxConnections, Hooks hooks)
    : m_maxConnections(maxConnections), m_acceptor(loop), m_acceptRetryTimer(loop)
{
    auto connectionHooks = std::make_shared<HttpServerConnection::Hooks>();
    connectionHooks->onRequest = std::move(hooks.onRequest);
    connectionHooks->limits = std::move(hooks.limits);
    connectionHooks->isStopping = std::move(hooks.isStopping);
    connectionHooks->onRejected = std::move(hooks.onRejected);
    connectionHooks->budget = std::move(hooks.budget);
    connectionHooks->onEvicted = std::move(hooks.onEvicted);
    connectionHooks->requestSlots = std::move(hooks.requestSlots);
    connectionHooks->onClosed
        = [this](HttpServerConnection *connection) { m_connections.erase(connection); };
    m_hooks = std::move(connectionHooks);
}

void AsyncHttpServer::listen(const Address &address)
{
    try {
        const Tcp::endpoint endpoint(asio::ip::make_address(address.host),
                                     static_cast<unsigned short>(address.port));
        m_acceptor.open(endpoint.protocol());
        m_acceptor.set_option(Tcp::acceptor::reuse_address(true));
        m_acceptor.bind(endpoint);
        m_acceptor.listen(acceptBacklog);
    } catch (const boost::system::system_error &e) {
        throw Error(ErrorKind::BadSettings,
                    "can't listen at " + address.text() + ": " + e.what()
                        + "; choose an address of this instance that is free");
    }
    accept();
}

int AsyncHttpServer::port() const
{
    return m_acceptor.local_endpoint().port();
}

void AsyncHttpServer::accept()
{
    m_acceptor.async_accept([this](const SystemErrorCode &ec, Tcp::socket socket) {
        onAccepted(ec, std::move(socket));
    });
}

void AsyncHttpServer::onAccepted(const SystemErrorCode &ec, Tcp::socket socket)
{
    if (ec == asio::error::operation_aborted)
        return;
    if (ec) {
        LOG_EVERY_N(WARNING, 100) << "event=accept_failed reason=\"" << ec.message() << '"';
        m_acceptRetryTimer.expires_after(acceptRetryDelay);
        m_acceptRetryTimer.async_wait([this](const SystemErrorCode &timerEc) {
            if (!timerEc)
                accept();
        });
        return;
    }
    if (m_connections.size() < m_maxConnections || makeRoom()) {
        const auto connection = std::make_shared<HttpServerConnection>(std::move(socket), m_hooks);
        m_connections.emplace(connection.get(), connection);
        connection->start();
    }
    accept();
}

// Closes the connection that has waited longest for its caller. Returns whether there was one.
bool AsyncHttpServer::makeRoom()
{
    HttpServerConnection::Pointer longest;
    for (const auto &entry : m_connections) {
        auto connection = entry.second.lock();
        if (connection && connection->isReplaceable()
            && (!longest || connection->waitingSince() < longest->waitingSince()))
            longest = std::move(connection);
    }
    return longest && longest->replace();
}

void AsyncHttpServer::stopListening()
{
    SystemErrorCode ignored;
    m_acceptor.close(ignored);
}

void AsyncHttpServer::closeIdleConnections()
{
    std::vector<std::shared_ptr<HttpServerConnection>> connections;
    for (const auto &entry : m_connections) {
        if (auto connection = entry.second.lock())
            connections.push_back(std::move(connection));
    }
    for (const auto &connection : connections)
        connection->closeIfIdle();
}

std::size_t AsyncHttpServer::activeRequestCount() const
{
    std::size_t n = 0;
    for (const auto &entry : m_connections) {
        const auto connection = entry.second.lock();
        if (connection && connection->isHandlingRequest())
            ++n;
    }
    return n;
}

} // namespace quetzalyoke
