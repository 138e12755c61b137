#ifndef QUETZALYOKE_ADAPTERS_ASYNC_HTTPCLIENT_H
#define QUETZALYOKE_ADAPTERS_ASYNC_HTTPCLIENT_H

#include "Adapters/Async/HttpConnectionPool.h"

#include <list>

namespace quetzalyoke {

/// \brief The outcome of one HTTP call.
struct HttpCallResult
{
    ExchangeOutcome outcome = ExchangeOutcome::NotSent;
    bool timedOut = false; ///< If true, \c outcome is Incomplete or NotSent.
    int status = 0; ///< 0 without a complete response.
    boost::beast::http::fields fields;
    std::string body;
    Instant sentAt;

    bool hasResponse() const { return outcome == ExchangeOutcome::Complete; }
};

/// \brief Makes small HTTP calls to one server over persistent connections.
///
/// Only complete responses are handed on.
class HttpClient
{
public:
    using Callback = std::function<void(const HttpCallResult &)>;

    HttpClient(asio::io_context &loop, const Address &peer,
               const HttpClientConnection::Limits &limits);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// Sends \a request, a whole HTTP message. Calls \a done once from the loop, at the latest
    /// after \a timeout, but never after this client has been destroyed.
    void call(std::string request, std::chrono::milliseconds timeout, Callback done);
    /// Closes the idle connections. Calls in progress continue.
    void closeIdleConnections() { m_pool.closeAllIdleConnections(); }
    const Address &peer() const { return m_peer; }

private:
    struct Call;

    void finish(const std::shared_ptr<Call> &call);

    asio::io_context &m_loop;
    const Address m_peer;
    HttpConnectionPool m_pool;
    std::list<std::shared_ptr<Call>> m_calls;
};

} // namespace quetzalyoke

#endif
