#ifndef QUETZALYOKE_ADAPTERS_ASYNC_HTTPCALLER_H
#define QUETZALYOKE_ADAPTERS_ASYNC_HTTPCALLER_H

#include "Adapters/Async/ConnectionPool.h"

#include <list>

namespace quetzalyoke {

/// \brief The outcome of one call.
struct HttpOutcome
{
    ExchangeEnd end = ExchangeEnd::NotSent;
    bool timedOut = false; ///< Then \c end is Cut or NotSent.
    int status = 0; ///< 0 without a whole answer.
    boost::beast::http::fields fields;
    std::string body;
    Instant sentAt;

    bool isAnswered() const { return end == ExchangeEnd::Complete; }
};

/// \brief Small HTTP calls to one server over kept connections; whole answers only.
class HttpCaller
{
public:
    using Callback = std::function<void(const HttpOutcome &)>;

    HttpCaller(asio::io_context &loop, const Address &peer, const ClientConnection::Limits &limits);
    ~HttpCaller();
    HttpCaller(const HttpCaller &) = delete;
    HttpCaller &operator=(const HttpCaller &) = delete;

    /// Sends \a request, a whole HTTP message. \a done is called once from the loop, at the
    /// latest after \a timeout; never after the caller's end.
    void call(std::string request, std::chrono::milliseconds timeout, Callback done);
    /// Drops the kept connections; calls under way go on.
    void dropIdle() { m_pool.dropAll(); }
    const Address &peer() const { return m_peer; }

private:
    struct Call;

    void finish(const std::shared_ptr<Call> &call);

    asio::io_context &m_loop;
    const Address m_peer;
    ConnectionPool m_pool;
    std::list<std::shared_ptr<Call>> m_calls;
};

} // namespace quetzalyoke

#endif
