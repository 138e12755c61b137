#ifndef QUETZALYOKE_ADAPTERS_ASYNC_CLIENTCONNECTION_H
#define QUETZALYOKE_ADAPTERS_ASYNC_CLIENTCONNECTION_H

#include "Adapters/Address.h"
#include "Adapters/Async/EventLoop.h"
#include "Adapters/Async/ReadableWait.h"
#include "Adapters/Async/internal/AnswerParser.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace quetzalyoke {

/// \brief How one HTTP exchange ended.
enum class ExchangeEnd {
    Complete, ///< The whole answer was read.
    NotSent, ///< No byte of the request left this instance.
    Cut, ///< The connection ended before the answer did; the request may have been carried out.
    Malformed, ///< What came is no HTTP answer; the request may have been carried out.
};

const char *exchangeEndText(ExchangeEnd end);

/// \brief Callbacks of one exchange. None is called after onEnd or after close().
struct ExchangeHooks
{
    enum class Head {
        Take, ///< The answer to the request; its body follows.
        Skip, ///< Another answer; the one to the request is still to come.
    };

    /// Asked once a new connection stands; false ends the exchange as NotSent. May be empty.
    std::function<bool()> maySend;
    /// An answer's status and header.
    std::function<Head(int status, const boost::beast::http::fields &fields)> onHead;
    std::function<void(std::string_view)> onBody;
    std::function<void(ExchangeEnd)> onEnd;
};

/// \brief An HTTP/1.1 connection to a server, one request at a time.
class ClientConnection : public std::enable_shared_from_this<ClientConnection>
{
public:
    /// Called when the connection can take another request.
    using IdleHook = std::function<void(const std::shared_ptr<ClientConnection> &)>;

    struct Limits
    {
        std::chrono::milliseconds connect{1000}; ///< To be connected.
        std::chrono::milliseconds silence{4000}; ///< Without an acknowledgement by the peer.
    };

    ClientConnection(asio::io_context &loop, const Address &peer, const Limits &limits);

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
    bool isQuiet();
    /// Until when the server keeps the connection open while it is idle.
    Instant idleUntil() const { return m_idleUntil; }

private:
    enum class State { New, Connecting, Idle, Busy, Closed };

    void connect();
    void onConnected(const SystemError &ec);
    void write();
    void onWritten(const SystemError &ec);
    void awaitBytes();
    void onReadable();
    void take(std::string_view data);
    bool parseMore();
    void startParser();
    bool onHeadParsed();
    void onEndOfStream();
    void onAnswerEnd();
    void becomeIdle();
    void fail(ExchangeEnd end);

    asio::io_context &m_loop;
    Tcp::socket m_socket;
    asio::steady_timer m_connectTimer;
    const Address m_peer;
    const Limits m_limits;
    IdleHook m_onIdle;
    State m_state = State::New;
    ExchangeHooks m_hooks;
    std::unique_ptr<internal::AnswerParser> m_parser;
    std::string m_request;
    std::string m_unparsed;
    bool m_isHead = false;
    bool m_headSeen = false;
    bool m_skipping = false;
    bool m_answerEnded = false;
    bool m_sent = false;
    bool m_writing = false;
    ReadableWait m_readable;
    bool m_paused = false;
    bool m_keepAlive = false;
    std::chrono::milliseconds m_idleTime;
    Instant m_idleUntil;
};

} // namespace quetzalyoke

#endif
