#ifndef QUETZALYOKE_ADAPTERS_ASYNC_HTTPSERVERCONNECTION_H
#define QUETZALYOKE_ADAPTERS_ASYNC_HTTPSERVERCONNECTION_H

#include "Adapters/Async/EventLoop.h"
#include "Adapters/Async/ReadableWait.h"
#include "Adapters/Async/ReceiveBudget.h"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace quetzalyoke {

/// \brief A complete request from a caller.
struct HttpRequest
{
    std::string method;
    std::string target; ///< Path and query as sent by the caller.
    boost::beast::http::fields fields;
    std::string body;
    Instant arrivedAt; ///< When its last byte was read.
    ResourceCharge memory; ///< For its bytes; empty without a budget.
    ResourceCharge slot; ///< For the request itself; empty without a limit.
};

/// \brief Limits on what a connection accepts.
struct HttpServerConnectionLimits
{
    std::uint32_t headerBytes = 16'384;
    std::uint64_t bodyBytes = 4'194'304;
    std::chrono::milliseconds headerTimeout{3'000};
    std::chrono::milliseconds idleTimeout{15'000};
    std::chrono::milliseconds tcpUserTimeout{
        8'000}; ///< Longest time without an acknowledgement by the caller.
};

/// \brief A caller's HTTP/1.1 connection: strictly parsed, one request at a time.
class HttpServerConnection : public std::enable_shared_from_this<HttpServerConnection>,
                             private ReceiveBudget::Holder
{
public:
    using Pointer = std::shared_ptr<HttpServerConnection>;

    /// \brief Callbacks to the owner of the connections.
    struct Hooks
    {
        std::function<void(const Pointer &, HttpRequest &&)> onRequest;
        std::function<HttpServerConnectionLimits()>
            limits; ///< Called at the start of each request.
        std::function<bool()> isStopping; ///< If true, connections close after their response.
        std::function<void(HttpServerConnection *)> onClosed;
        /// Called for a request that is rejected before it can be passed to onRequest.
        std::function<void(int status, const char *reason)> onRejected;
        /// Limits what all connections hold together; may be empty.
        std::shared_ptr<ReceiveBudget> budget = {};
        /// Called when a connection that held \a bytes is closed for lack of memory, or of
        /// connections for new callers. May be empty.
        std::function<void(const char *reason, std::size_t bytes)> onEvicted = {};
        /// Limits the requests that the owner handles at the same time; may be empty.
        std::shared_ptr<ResourceCharge::Total> requestSlots = {};
    };

    HttpServerConnection(Tcp::socket socket, std::shared_ptr<const Hooks> hooks);

    ~HttpServerConnection() override;
    HttpServerConnection(const HttpServerConnection &) = delete;
    HttpServerConnection &operator=(const HttpServerConnection &) = delete;

    void start();
    /// Closes the connection unless a request is being handled or has begun to arrive.
    void closeIfIdle();
    bool isHandlingRequest() const { return m_state == State::Handling; }
    /// Returns whether the connection may be closed in favour of a new one: it waits for a request,
    /// for the rest of one or for the caller to close.
    bool isReplaceable() const { return m_state == State::Reading || m_state == State::Lingering; }
    /// Closes a replaceable connection, unless a request has just arrived on an idle one. Returns
    /// whether it is closed.
    bool replace();
    /// Returns when the connection last began to wait for a request or for a part of it.
    Instant waitingSince() const { return m_waitingSince; }

    /// Sets a hook that is called once if the caller disconnects before its response is complete.
    void setDisconnectHook(std::function<void()> onDisconnect)
    {
        m_onDisconnect = std::move(onDisconnect);
    }
    /// Sets a hook that is called when a caller that was slow to read has caught up.
    void setSendBufferEmptyHook(std::function<void()> onSendBufferEmpty)
    {
        m_onSendBufferEmpty = std::move(onSendBufferEmpty);
    }

    /// Sends a complete response. \a fields are header lines other than those for the length.
    void sendResponse(int status, std::string_view fields, std::string_view body);
    /// Begins a response of unknown length.
    void beginChunkedResponse(int status, std::string_view fields);
    void writeChunk(std::string_view data);
    void endChunkedResponse();
    /// Closes the connection so that the caller sees that the response is incomplete.
    void abort();

    std::size_t unsentBytes() const { return m_out.size() + m_writing.size(); }

private:
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;
    enum class State {
        Reading, ///< Waiting for a request or for the rest of one.
        Handling, ///< The owner is preparing the response.
        Finishing, ///< Sending the last response; further bytes are discarded.
        Lingering, ///< Waiting for the caller to close the connection.
        Closed,
    };

    // Why a request is rejected before it is handed on.
    struct Problem
    {
        int status = 0;
        const char *reason = "";
    };
    enum class Parsed { NeedsMore, Complete, Rejected };

    void beginRequest();
    void awaitBytes();
    void onReadable();
    void parse(std::string_view received);
    Parsed parseBytes(std::string_view &bytes, Problem &problem);
    std::optional<Problem> checkHeader();
    std::size_t requestBytes() const;
    void recordHeldBytes(std::size_t movedBytes);
    void evict() override;
    void reportEviction(const char *reason) const;
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
    Instant m_waitingSince;
    std::size_t m_headerBytes = 0; // memory of the parsed header
    std::size_t m_decodedBytes = 0; // memory of what the owner decodes from it, at most
    std::size_t m_discardedBytes = 0; // that arrived after the last request
    bool m_headerChecked = false;
    bool m_requestBegun = false;
    bool m_keepAlive = true;
    bool m_isHeadRequest = false;
    bool m_chunked = false;
    bool m_needsSendBufferEmptyCall = false;
};

} // namespace quetzalyoke

#endif
