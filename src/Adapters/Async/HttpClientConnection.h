#ifndef QUETZALYOKE_ADAPTERS_ASYNC_HTTPCLIENTCONNECTION_H
#define QUETZALYOKE_ADAPTERS_ASYNC_HTTPCLIENTCONNECTION_H

#include "Adapters/Address.h"
#include "Adapters/Async/EventLoop.h"
#include "Adapters/Async/ReadableWait.h"
#include "Adapters/Async/internal/ResponseParser.h"
#include "Core/StrongTypes.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace quetzalyoke {

/// \brief How one HTTP exchange ended.
enum class ExchangeOutcome {
    Complete, ///< The whole response was read.
    NotSent, ///< No byte of the request left this instance.
    Incomplete, ///< The connection ended before the response did; the request may have run.
    Malformed, ///< The received bytes are not an HTTP response; the request may have run.
};

const char *exchangeOutcomeText(ExchangeOutcome outcome);

/// \brief Callbacks of one exchange. None of them is called after onEnd or after close().
struct ExchangeHooks
{
    enum class HeaderDecision {
        Accept, ///< This is the response to the request; its body follows.
        Skip, ///< This is another response; the one to the request is still to come.
    };

    /// Called when a new connection has been established. If it returns false, the exchange ends
    /// as NotSent. May be empty.
    std::function<bool()> maySend;
    /// Called with the status and the header of a response.
    std::function<HeaderDecision(int status, const boost::beast::http::fields &fields)> onHeader;
    std::function<void(std::string_view)> onBody;
    std::function<void(ExchangeOutcome)> onEnd;
};

/// \brief An HTTP/1.1 connection to a server that carries one request at a time.
class HttpClientConnection : public std::enable_shared_from_this<HttpClientConnection>
{
public:
    /// Called when the connection can carry another request.
    using IdleHook = std::function<void(const std::shared_ptr<HttpClientConnection> &)>;

    struct Limits
    {
        std::chrono::milliseconds connectTimeout{1000}; ///< For establishing the connection.
        std::chrono::milliseconds tcpUserTimeout{
            4000}; ///< Longest time without an acknowledgement by the peer.
    };

    HttpClientConnection(asio::io_context &loop, const Address &peer, const Limits &limits);

    void setIdleHook(IdleHook onIdle) { m_onIdle = std::move(onIdle); }
    /// Sends \a request, a whole HTTP message; establishes the connection first if necessary.
    void send(std::string request, bool isHead, ExchangeHooks hooks);
    /// Closes the connection and ends its exchange without calling a hook of that exchange.
    void close();

    /// Stop and continue reading, for back-pressure.
    void pauseReading() { m_paused = true; }
    void resumeReading();

    bool isClosed() const { return m_state == State::Closed; }
    /// Returns whether no exchange has begun; the first one establishes the connection.
    bool isNew() const { return m_state == State::New; }
    /// Returns whether the last response ended with the connection, without stating its length.
    bool isResponseEndedByClose() const { return m_isResponseEndedByClose; }
    /// Returns whether the peer has no listener at the address; set once an exchange has ended as
    /// NotSent.
    bool wasRefused() const { return m_wasRefused; }
    /// Returns whether the connection is idle, still open and has received no unexpected bytes.
    bool isReusable();
    /// Returns the time until which the server is expected to keep the idle connection open.
    Instant idleExpiresAt() const { return m_idleExpiresAt; }
    /// The incarnation of the server at the other end, once the user of the connection knows it.
    void setPeerIncarnation(Incarnation incarnation) { m_peerIncarnation = incarnation; }
    const std::optional<Incarnation> &peerIncarnation() const { return m_peerIncarnation; }

private:
    enum class State { New, Connecting, Idle, Busy, Closed };

    void connect();
    void onConnected(const SystemErrorCode &ec);
    void write();
    void onWritten(const SystemErrorCode &ec);
    void awaitBytes();
    void onReadable();
    void onReceived(std::string_view data);
    bool parseMore();
    void startParser();
    bool onHeaderParsed();
    void onEndOfStream();
    void awaitEndOfRequest();
    void endByClose();
    void onResponseEnd();
    void becomeIdle();
    void fail(ExchangeOutcome outcome);

    asio::io_context &m_loop;
    Tcp::socket m_socket;
    asio::steady_timer m_timer; // for connecting, and for a reset after the end of a response
    const Address m_peer;
    const Limits m_limits;
    IdleHook m_onIdle;
    State m_state = State::New;
    ExchangeHooks m_hooks;
    std::unique_ptr<internal::ResponseParser> m_parser;
    std::string m_request;
    std::string m_unparsed;
    bool m_isHeadRequest = false;
    bool m_headerParsed = false;
    bool m_skippingResponse = false;
    bool m_responseEnded = false;
    bool m_sent = false;
    bool m_wasRefused = false;
    bool m_isResponseEndedByClose = false;
    bool m_writing = false;
    bool m_writeFailed = false;
    bool m_awaitsEndOfRequest = false; // a response that the server's close has ended is held back
    ReadableWait m_readable;
    bool m_paused = false;
    bool m_keepAlive = false;
    std::chrono::milliseconds m_idleTimeout;
    Instant m_idleExpiresAt;
    std::optional<Incarnation> m_peerIncarnation;
};

} // namespace quetzalyoke

#endif
