#include "Adapters/Async/HttpClient.h"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace quetzalyoke {

namespace {

// Few calls to one server run at a time, so more idle connections would only use descriptors.
constexpr std::size_t maxIdleConnections = 4;

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
                       const HttpClientConnection::Limits &limits, std::size_t maxBodyBytes)
    : m_loop(loop), m_peer(peer), m_maxBodyBytes(maxBodyBytes),
      m_pool(loop, limits, maxIdleConnections)
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
    hooks.onBody = [this, call](std::string_view data) {
        if (call->result.body.size() + data.size() <= m_maxBodyBytes)
            call->result.body.append(data);
        else
            abandon(call, ExchangeOutcome::Malformed);
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
        abandon(it, ExchangeOutcome::Incomplete);
    });
    call->connection->send(std::move(request), false, std::move(hooks));
}

// Ends the call without the rest of its response.
void HttpClient::abandon(const std::shared_ptr<Call> &call, ExchangeOutcome outcome)
{
    call->result.outcome = outcome;
    call->connection->close();
    finish(call);
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
