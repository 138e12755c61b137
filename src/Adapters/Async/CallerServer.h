#ifndef QUETZALYOKE_ADAPTERS_ASYNC_CALLERSERVER_H
#define QUETZALYOKE_ADAPTERS_ASYNC_CALLERSERVER_H

#include "Adapters/Address.h"
#include "Adapters/Async/CallerSession.h"

#include <unordered_map>

namespace quetzalyoke {

/// \brief Listens at one address and keeps its sessions.
class CallerServer
{
public:
    struct Hooks
    {
        std::function<void(const CallerSession::Pointer &, CallerRequest &&)> onRequest;
        std::function<SessionLimits()> limits;
        std::function<bool()> isStopping;
        std::function<void(int status, const char *reason)> onRejected;
    };

    /// \a connections are kept open at the most; the ones beyond are closed.
    CallerServer(asio::io_context &loop, std::size_t connections, Hooks hooks);

    /// Throws Error (BadSettings) where \a address can't be listened at.
    void listen(const Address &address);
    int port() const;
    void stopListening();
    void closeIdle();
    std::size_t connections() const { return m_sessions.size(); }
    std::size_t handling() const;

private:
    void accept();
    void onAccepted(const SystemError &ec, Tcp::socket socket);

    const std::size_t m_limit;
    Tcp::acceptor m_acceptor;
    asio::steady_timer m_pause;
    std::shared_ptr<const CallerSession::Hooks> m_hooks;
    std::unordered_map<CallerSession *, std::weak_ptr<CallerSession>> m_sessions;
};

} // namespace quetzalyoke

#endif
