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
    : m_loop(loop), m_peer(peer), m_pool(loop, limits, idleConnections)
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
    call->connection = m_pool.acquire(m_peer.text());
    m_calls.push_back(call);

    ExchangeHooks hooks;
    hooks.onHead = [call](int status, const boost::beast::http::fields &fields) {
        call->outcome.status = status;
        call->outcome.fields = fields;
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

} // namespace quetzalyoke
