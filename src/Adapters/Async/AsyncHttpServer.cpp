#include "Adapters/Async/AsyncHttpServer.h"

#include "Core/Error.h"

#include <glog/logging.h>

namespace quetzalyoke {

namespace {

// New connections that wait to be accepted; beyond it the system drops them for seconds.
constexpr int backlog = 4096;

// Before another try after the system had no descriptor or memory for a connection.
constexpr std::chrono::milliseconds acceptPause{20};

} // namespace

AsyncHttpServer::AsyncHttpServer(asio::io_context &loop, std::size_t connections, Hooks hooks)
    : m_maxConnections(connections), m_acceptor(loop), m_acceptRetryTimer(loop)
{
    auto own = std::make_shared<HttpServerConnection::Hooks>();
    own->onRequest = std::move(hooks.onRequest);
    own->limits = std::move(hooks.limits);
    own->isStopping = std::move(hooks.isStopping);
    own->onRejected = std::move(hooks.onRejected);
    own->onClosed = [this](HttpServerConnection *session) { m_connections.erase(session); };
    m_hooks = std::move(own);
}

void AsyncHttpServer::listen(const Address &address)
{
    try {
        const Tcp::endpoint endpoint(asio::ip::make_address(address.host),
                                     static_cast<unsigned short>(address.port));
        m_acceptor.open(endpoint.protocol());
        m_acceptor.set_option(Tcp::acceptor::reuse_address(true));
        m_acceptor.bind(endpoint);
        m_acceptor.listen(backlog);
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
        m_acceptRetryTimer.expires_after(acceptPause);
        m_acceptRetryTimer.async_wait([this](const SystemErrorCode &timerEc) {
            if (!timerEc)
                accept();
        });
        return;
    }
    if (m_connections.size() < m_maxConnections) {
        const auto session = std::make_shared<HttpServerConnection>(std::move(socket), m_hooks);
        m_connections.emplace(session.get(), session);
        session->start();
    }
    accept();
}

void AsyncHttpServer::stopListening()
{
    SystemErrorCode ignored;
    m_acceptor.close(ignored);
}

void AsyncHttpServer::closeIdleConnections()
{
    std::vector<std::shared_ptr<HttpServerConnection>> sessions;
    for (const auto &entry : m_connections) {
        if (auto session = entry.second.lock())
            sessions.push_back(std::move(session));
    }
    for (const auto &session : sessions)
        session->closeIfIdle();
}

std::size_t AsyncHttpServer::activeRequestCount() const
{
    std::size_t n = 0;
    for (const auto &entry : m_connections) {
        const auto session = entry.second.lock();
        if (session && session->isHandlingRequest())
            ++n;
    }
    return n;
}

} // namespace quetzalyoke
