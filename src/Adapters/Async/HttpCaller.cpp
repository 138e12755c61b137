#include "Adapters/Async/HttpCaller.h"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace quetzalyoke {

namespace {

// More would only hold descriptors: calls to one server are few at a time.
constexpr std::size_t idleConnections = 4;

// Of an answer; the platform's largest is about a megabyte.
constexpr std::size_t answerBytes = 8'388'608;

} // namespace

struct HttpCaller::Call
{
    explicit Call(asio::io_context &loop) : timer(loop) { }

    asio::steady_timer timer;
    std::shared_ptr<ClientConnection> connection;
    HttpOutcome outcome;
    Callback done;
    bool sent = false;
};

HttpCaller::HttpCaller(asio::io_context &loop, const Address &peer,
                       const ClientConnection::Limits &limits)
    : m_loop(loop), m_peer(peer), m_limits(limits),
      m_idle(std::make_shared<std::list<std::shared_ptr<ClientConnection>>>())
{ }

HttpCaller::~HttpCaller()
{
    for (const auto &call : m_calls) {
        call->done = nullptr;
        call->timer.cancel();
        call->connection->close();
    }
    dropIdle();
}

void HttpCaller::call(std::string request, std::chrono::milliseconds timeout, Callback done)
{
    const auto call = std::make_shared<Call>(m_loop);
    call->done = std::move(done);
    call->outcome.sentAt = loopNow();
    while (!m_idle->empty() && !call->connection) {
        const auto connection = m_idle->back();
        m_idle->pop_back();
        if (connection->isClosed())
            continue;
        if (connection->idleUntil() > loopNow() && connection->isQuiet())
            call->connection = connection;
        else
            connection->close();
    }
    if (!call->connection) {
        call->connection = std::make_shared<ClientConnection>(m_loop, m_peer, m_limits);
        const std::weak_ptr<std::list<std::shared_ptr<ClientConnection>>> idle = m_idle;
        call->connection->setIdleHook([idle](const std::shared_ptr<ClientConnection> &connection) {
            const auto list = idle.lock();
            if (!list || list->size() >= idleConnections)
                connection->close();
            else
                list->push_back(connection);
        });
    }
    m_calls.push_back(call);

    ExchangeHooks hooks;
    hooks.onHead = [call](int status, const boost::beast::http::fields &) {
        call->outcome.status = status;
        return ExchangeHooks::Head::Take;
    };
    hooks.onBody = [call](std::string_view data) {
        if (call->outcome.body.size() + data.size() <= answerBytes)
            call->outcome.body.append(data);
    };
    hooks.onEnd = [this, call](ExchangeEnd end) {
        call->outcome.end = end;
        finish(call);
    };
    call->timer.expires_after(timeout);
    call->timer.async_wait([this, weak = std::weak_ptr<Call>(call)](const SystemError &ec) {
        const auto it = weak.lock();
        if (ec || !it || !it->done)
            return;
        it->outcome.timedOut = true;
        it->outcome.end = ExchangeEnd::Cut;
        it->connection->close();
        finish(it);
    });
    call->connection->send(std::move(request), false, std::move(hooks));
}

void HttpCaller::finish(const std::shared_ptr<Call> &call)
{
    call->timer.cancel();
    m_calls.remove(call);
    const auto done = std::exchange(call->done, nullptr);
    if (call->outcome.end != ExchangeEnd::Complete)
        call->outcome.status = 0;
    if (done)
        done(call->outcome);
}

void HttpCaller::dropIdle()
{
    const auto idle = std::exchange(*m_idle, {});
    for (const auto &connection : idle)
        connection->close();
}

} // namespace quetzalyoke
