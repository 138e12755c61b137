#ifndef QUETZALYOKE_ADAPTERS_ASYNC_HTTPCLIENTCONNECTION_H
#define QUETZALYOKE_ADAPTERS_ASYNC_HTTPCLIENTCONNECTION_H

#include "Adapters/Address.h"
#include "Adapters/Async/EventLoop.h"
#include "Adapters/Async/ReadableWait.h"
#include "Adapters/Async/internal/ResponseParser.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace quetzalyoke {

/// \brief How one HTTP exchange ended.
enum class ExchangeOutcome {
    Complete, ///< The whole answer was read.
    NotSent, ///< No byte of the request left this instance.
    Incomplete, ///< The connection ended before the answer did; the request may have been carried
                ///< out.
    Malformed, ///< What came is no HTTP answer; the request may have been carried out.
};

const char *exchangeOutcomeText(ExchangeOutcome end);

/// \brief Callbacks of one exchange. None is called after onEnd or after close().
struct ExchangeHooks
{
    enum class HeaderDecision {
        Accept, ///< The answer to the request; its body follows.
        Skip, ///< Another answer; the one to the request is still to come.
    };

    /// Asked once a new connection stands; false ends the exchange as NotSent. May be empty.
    std::function<bool()> maySend;
    /// An answer's status and header.
    std::function<HeaderDecision(int status, const boost::beast::http::fields &fields)> onHeader;
    std::function<void(std::string_view)> onBody;
    std::function<void(ExchangeOutcome)> onEnd;
};

/// \brief An HTTP/1.1 connection to a server, one request at a time.
class HttpClientConnection : public std::enable_shared_from_this<HttpClientConnection>
{
public:
    /// Called when the connection can take another request.
    using IdleHook = std::function<void(const std::shared_ptr<HttpClientConnection> &)>;

    struct Limits
    {
        std::chrono::milliseconds connectTimeout{1000}; ///< To be connected.
        std::chrono::milliseconds tcpUserTimeout{4000}; ///< Without an acknowledgement by the peer.
    };

    HttpClientConnection(asio::io_context &loop, const Address &peer, const Limits &limits);

    void setIdleHook(IdleHook onIdle) { m_onIdle = std::move(onIdle); }
    /// Sends \a request, a whole HTTP message; connects first where that is still to be done.
    void send(std::string request, bool isHead, ExchangeHooks hooks);
    /// Ends the connection and whatever it carries. No hook of the exchange is called.
    void close();

    /// Stops and starts reading, for back-pressure.
    void pauseReading() { m_paused = true; }
    void resumeReading();

    bool isClosed() const { return m_state == State::Closed; }
    /// Whether an idle connection has neither ended nor brought bytes that nobody asked for.
    bool isReusable();
    /// Until when the server keeps the connection open while it is idle.
    Instant idleExpiresAt() const { return m_idleExpiresAt; }

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
    void onResponseEnd();
    void becomeIdle();
    void fail(ExchangeOutcome end);

    asio::io_context &m_loop;
    Tcp::socket m_socket;
    asio::steady_timer m_connectTimer;
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
    bool m_writing = false;
    ReadableWait m_readable;
    bool m_paused = false;
    bool m_keepAlive = false;
    std::chrono::milliseconds m_idleTimeout;
    Instant m_idleExpiresAt;
};

} // namespace quetzalyoke

#endif
