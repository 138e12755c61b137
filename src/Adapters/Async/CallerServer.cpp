#include "Adapters/Async/CallerServer.h"

#include "Core/Error.h"

#include <glog/logging.h>

namespace quetzalyoke {

namespace {

// New connections that wait to be accepted; beyond it the system drops them for seconds.
constexpr int backlog = 4096;

// Before another try after the system had no descriptor or memory for a connection.
constexpr std::chrono::milliseconds acceptPause{20};

} // namespace

CallerServer::CallerServer(asio::io_context &loop, std::size_t connections, Hooks hooks)
    : m_limit(connections), m_acceptor(loop), m_pause(loop)
{
    auto own = std::make_shared<CallerSession::Hooks>();
    own->onRequest = std::move(hooks.onRequest);
    own->limits = std::move(hooks.limits);
    own->isStopping = std::move(hooks.isStopping);
    own->onRejected = std::move(hooks.onRejected);
    own->onClosed = [this](CallerSession *session) { m_sessions.erase(session); };
    m_hooks = std::move(own);
}

void CallerServer::listen(const Address &address)
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

int CallerServer::port() const
{
    return m_acceptor.local_endpoint().port();
}

void CallerServer::accept()
{
    m_acceptor.async_accept(
        [this](const SystemError &ec, Tcp::socket socket) { onAccepted(ec, std::move(socket)); });
}

void CallerServer::onAccepted(const SystemError &ec, Tcp::socket socket)
{
    if (ec == asio::error::operation_aborted)
        return;
    if (ec) {
        LOG_EVERY_N(WARNING, 100) << "event=accept_failed reason=\"" << ec.message() << '"';
        m_pause.expires_after(acceptPause);
        m_pause.async_wait([this](const SystemError &timerEc) {
            if (!timerEc)
                accept();
        });
        return;
    }
    if (m_sessions.size() < m_limit) {
        const auto session = std::make_shared<CallerSession>(std::move(socket), m_hooks);
        m_sessions.emplace(session.get(), session);
        session->start();
    }
    accept();
}

void CallerServer::stopListening()
{
    SystemError ignored;
    m_acceptor.close(ignored);
}

void CallerServer::closeIdle()
{
    std::vector<std::shared_ptr<CallerSession>> sessions;
    for (const auto &entry : m_sessions) {
        if (auto session = entry.second.lock())
            sessions.push_back(std::move(session));
    }
    for (const auto &session : sessions)
        session->closeIfIdle();
}

std::size_t CallerServer::handling() const
{
    std::size_t n = 0;
    for (const auto &entry : m_sessions) {
        const auto session = entry.second.lock();
        if (session && session->isHandling())
            ++n;
    }
    return n;
}

} // namespace quetzalyoke
