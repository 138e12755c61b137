#include "Adapters/Async/HttpClient.h"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace quetzalyoke {

namespace {

// Few calls to one server run at a time, so more idle connections would only use descriptors.
constexpr std::size_t maxIdleConnections = 4;

// Largest response body that is kept; the platform's largest is about a megabyte.
constexpr std::size_t maxResponseBytes = 8'388'608;

} // namespace

struct HttpClient::Call
{
    explicit Call(asio::io_context &loop) : timer(loop) { }

    asio::steady_timer timer;
    std::shared_ptr<HttpClientConnection> connection;
    HttpCallResult result;
    Callback done;
    bool sent = false;
};

HttpClient::HttpClient(asio::io_context &loop, const Address &peer,
                       const HttpClientConnection::Limits &limits)
    : m_loop(loop), m_peer(peer), m_pool(loop, limits, maxIdleConnections)
{ }

HttpClient::~HttpClient()
{
    for (const auto &call : m_calls) {
        call->done = nullptr;
        call->timer.cancel();
        call->connection->close();
    }
    closeIdleConnections();
}

void HttpClient::call(std::string request, std::chrono::milliseconds timeout, Callback done)
{
    const auto call = std::make_shared<Call>(m_loop);
    call->done = std::move(done);
    call->result.sentAt = steadyNow();
    call->connection = m_pool.acquire(m_peer.text());
    m_calls.push_back(call);

    ExchangeHooks hooks;
    hooks.onHeader = [call](int status, const boost::beast::http::fields &fields) {
        call->result.status = status;
        call->result.fields = fields;
        return ExchangeHooks::HeaderDecision::Accept;
    };
    hooks.onBody = [call](std::string_view data) {
        if (call->result.body.size() + data.size() <= maxResponseBytes)
            call->result.body.append(data);
    };
    hooks.onEnd = [this, call](ExchangeOutcome outcome) {
        call->result.outcome = outcome;
        finish(call);
    };
    call->timer.expires_after(timeout);
    call->timer.async_wait([this, weak = std::weak_ptr<Call>(call)](const SystemErrorCode &ec) {
        const auto it = weak.lock();
        if (ec || !it || !it->done)
            return;
        it->result.timedOut = true;
        it->result.outcome = ExchangeOutcome::Incomplete;
        it->connection->close();
        finish(it);
    });
    call->connection->send(std::move(request), false, std::move(hooks));
}

void HttpClient::finish(const std::shared_ptr<Call> &call)
{
    call->timer.cancel();
    m_calls.remove(call);
    const auto done = std::exchange(call->done, nullptr);
    if (call->result.outcome != ExchangeOutcome::Complete)
        call->result.status = 0;
    if (done)
        done(call->result);
}

} // namespace quetzalyoke
