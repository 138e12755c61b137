#ifndef QUETZALYOKE_ADAPTERS_ASYNC_HTTPSERVERCONNECTION_H
#define QUETZALYOKE_ADAPTERS_ASYNC_HTTPSERVERCONNECTION_H

#include "Adapters/Async/EventLoop.h"
#include "Adapters/Async/ReadableWait.h"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace quetzalyoke {

/// \brief A whole request of a caller.
struct HttpRequest
{
    std::string method;
    std::string target; ///< Path and query as the caller wrote them.
    boost::beast::http::fields fields;
    std::string body;
    Instant arrivedAt; ///< When its last byte was read.
};

/// \brief Bounds on what a session accepts.
struct HttpServerConnectionLimits
{
    std::uint32_t headerBytes = 16'384;
    std::uint64_t bodyBytes = 4'194'304;
    std::chrono::milliseconds headerTimeout{3'000};
    std::chrono::milliseconds idleTimeout{15'000};
    std::chrono::milliseconds tcpUserTimeout{8'000}; ///< Without an acknowledgement by the caller.
};

/// \brief One connection of a caller: HTTP/1.1, one request at a time, strictly parsed.
class HttpServerConnection : public std::enable_shared_from_this<HttpServerConnection>
{
public:
    using Pointer = std::shared_ptr<HttpServerConnection>;

    /// What the owner of the sessions decides.
    struct Hooks
    {
        std::function<void(const Pointer &, HttpRequest &&)> onRequest;
        std::function<HttpServerConnectionLimits()> limits; ///< Asked at the start of each request.
        std::function<bool()> isStopping; ///< Then connections end after their answer.
        std::function<void(HttpServerConnection *)> onClosed;
        /// A request that was turned down before it could be handed on.
        std::function<void(int status, const char *reason)> onRejected;
    };

    HttpServerConnection(Tcp::socket socket, std::shared_ptr<const Hooks> hooks);

    void start();
    /// Closes the connection if no request is under way or on its way.
    void closeIfIdle();
    bool isHandlingRequest() const { return m_state == State::Handling; }

    /// Called once if the caller leaves before its answer is complete.
    void setDisconnectHook(std::function<void()> onLeave) { m_onDisconnect = std::move(onLeave); }
    /// Called when a caller that was slow to read has caught up.
    void setSendBufferEmptyHook(std::function<void()> onDrained)
    {
        m_onSendBufferEmpty = std::move(onDrained);
    }

    /// Sends a whole answer. \a fields are header lines without framing.
    void sendResponse(int status, std::string_view fields, std::string_view body);
    /// Begins an answer of unknown length.
    void beginChunkedResponse(int status, std::string_view fields);
    void writeChunk(std::string_view data);
    void endChunkedResponse();
    /// Ends the connection in a way that shows the answer to be incomplete.
    void abort();

    std::size_t unsentBytes() const { return m_out.size() + m_writing.size(); }

private:
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;
    enum class State {
        Reading, ///< Waits for a request or for the rest of one.
        Handling, ///< Its answer is being made.
        Finishing, ///< The last answer is being sent; nothing more is read.
        Lingering, ///< Waits for the caller to close.
        Closed,
    };

    void beginRequest();
    void awaitBytes();
    void onReadable();
    void parse();
    bool validateHeader();
    void dispatchRequest();
    void reject(int status, const char *reason);
    void writeHeader(int status, std::string_view fields, std::string_view framing);
    void finishResponse();
    void flush();
    void onFlushed(const SystemErrorCode &ec);
    void setTimer(std::chrono::milliseconds time);
    void onTimer();
    void startLingeringClose();
    void onCallerDisconnected();
    void close();

    Tcp::socket m_socket;
    asio::steady_timer m_timer;
    std::shared_ptr<const Hooks> m_hooks;
    std::function<void()> m_onDisconnect;
    std::function<void()> m_onSendBufferEmpty;
    State m_state = State::Reading;
    std::optional<Parser> m_parser;
    std::string m_in;
    std::string m_out;
    std::string m_writing;
    ReadableWait m_readable;
    bool m_headerChecked = false;
    bool m_requestBegun = false;
    bool m_keepAlive = true;
    bool m_isHeadRequest = false;
    bool m_chunked = false;
    bool m_needsSendBufferEmptyCall = false;
};

} // namespace quetzalyoke

#endif
