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

    /// A response whose body has more than \a maxBodyBytes counts as Malformed.
    HttpClient(asio::io_context &loop, const Address &peer,
               const HttpClientConnection::Limits &limits,
               std::size_t maxBodyBytes = defaultMaxBodyBytes);
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
    /// The platform's largest response is about a megabyte.
    static constexpr std::size_t defaultMaxBodyBytes = 8'388'608;

    struct Call;

    void abandon(const std::shared_ptr<Call> &call, ExchangeOutcome outcome);
    void finish(const std::shared_ptr<Call> &call);

    asio::io_context &m_loop;
    const Address m_peer;
    const std::size_t m_maxBodyBytes;
    HttpConnectionPool m_pool;
    std::list<std::shared_ptr<Call>> m_calls;
};

} // namespace quetzalyoke

#endif
