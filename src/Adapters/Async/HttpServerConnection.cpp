#include "Adapters/Async/HttpServerConnection.h"

#include "Adapters/Async/HandlerGuard.h"
#include "Adapters/Async/SocketOptions.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/status.hpp>

namespace quetzalyoke {

namespace http = boost::beast::http;

namespace {

// Largest number of bytes that are read beyond the request being handled.
constexpr std::size_t maxReadAheadBytes = 65'536;

// A caller with more unsent bytes than this counts as slow; the send buffer hook is called once it
// has caught up.
constexpr std::size_t slowCallerBytes = 16'384;

// Time for a caller to read the last response and close before the connection is reset.
constexpr std::chrono::milliseconds lingerTime{1000};

bool hasBody(int status)
{
    return status >= 200 && status != 204 && status != 304;
}

void appendNumber(std::string &out, std::size_t n, int base)
{
    char buf[24];
    const int length = std::snprintf(buf, sizeof buf, base == 16 ? "%zx" : "%zu", n);
    out.append(buf, static_cast<std::size_t>(length));
}

} // namespace

HttpServerConnection::HttpServerConnection(Tcp::socket socket, std::shared_ptr<const Hooks> hooks)
    : m_socket(std::move(socket)), m_timer(m_socket.get_executor()), m_hooks(std::move(hooks))
{ }

void HttpServerConnection::start()
{
    setSocketOptions(m_socket, m_hooks->limits().tcpUserTimeout);
    beginRequest();
    awaitBytes();
}

void HttpServerConnection::beginRequest()
{
    const HttpServerConnectionLimits limits = m_hooks->limits();
    m_state = State::Reading;
    m_parser.emplace();
    m_parser->eager(true);
    m_parser->header_limit(limits.headerBytes);
    m_parser->body_limit(limits.bodyBytes);
    m_headerChecked = false;
    m_requestBegun = false;
    m_chunked = false;
    setTimer(limits.idleTimeout);
}

void HttpServerConnection::awaitBytes()
{
    const bool mayRead = m_state != State::Closed
        && (m_state != State::Handling || m_in.size() < maxReadAheadBytes);
    if (!mayRead)
        return;
    m_readable.start(m_socket, shared_from_this(), [this] {
        if (m_state != State::Closed && !callGuarded("caller", [this] { onReadable(); }))
            onCallerDisconnected();
    });
}

void HttpServerConnection::onReadable()
{
    SystemErrorCode ec;
    const std::string_view data = readAvailable(m_socket, ec);
    if (ec == asio::error::would_block || ec == asio::error::interrupted) {
        awaitBytes();
        return;
    }
    if (ec) {
        onCallerDisconnected();
        return;
    }
    if (m_state == State::Finishing || m_state == State::Lingering) {
        awaitBytes();
        return;
    }
    m_in.append(data);
    if (m_state == State::Reading)
        parse();
    awaitBytes();
}

void HttpServerConnection::parse()
{
    if (!m_requestBegun && !m_in.empty()) {
        m_requestBegun = true;
        setTimer(m_hooks->limits().headerTimeout);
    }
    while (!m_in.empty() && m_state == State::Reading) {
        SystemErrorCode ec;
        const std::size_t n = m_parser->put(asio::buffer(m_in), ec);
        m_in.erase(0, n);
        if (ec == http::error::need_more) {
            // The parser limits neither a chunk header nor a trailer.
            const bool isTooLong = m_in.size() > m_hooks->limits().headerBytes;
            ec = isTooLong ? http::error::header_limit : SystemErrorCode();
        } else if (n == 0 && !ec)
            ec = http::error::bad_value;
        if (ec == http::error::header_limit) {
            reject(431, "the header is too large");
            return;
        }
        if (ec == http::error::body_limit) {
            reject(413, "the body is too large");
            return;
        }
        if (ec) {
            reject(400, "the request is not valid HTTP");
            return;
        }
        if (m_parser->is_header_done() && !m_headerChecked && !validateHeader())
            return;
        if (m_parser->is_done()) {
            dispatchRequest();
            return;
        }
        if (n == 0)
            return;
    }
}

// Rejects headers that the parser accepts but that another parser on the way may read differently.
bool HttpServerConnection::validateHeader()
{
    m_headerChecked = true;
    const auto &message = m_parser->get();
    if (message.version() != 11) {
        reject(505, "only HTTP/1.1 is supported");
        return false;
    }
    const auto coding = message[http::field::transfer_encoding];
    if (message.count(http::field::transfer_encoding) > 1
        || (!coding.empty() && !boost::beast::iequals(coding, "chunked"))) {
        reject(400, "the transfer coding is not supported");
        return false;
    }
    const bool hasLength = message.count(http::field::content_length) > 0;
    if (message.count(http::field::content_length) > 1 || (hasLength && !coding.empty())) {
        reject(400, "the length is stated more than once");
        return false;
    }
    if (message.count(http::field::host) != 1) {
        reject(400, "there must be exactly one Host header");
        return false;
    }
    if (!message.target().starts_with('/')) {
        reject(400, "the target is not a path");
        return false;
    }
    if (boost::beast::iequals(message[http::field::expect], "100-continue")) {
        m_out += "HTTP/1.1 100 Continue\r\n\r\n";
        flush();
    }
    return true;
}

void HttpServerConnection::dispatchRequest()
{
    m_state = State::Handling;
    m_timer.cancel();
    auto message = m_parser->release();
    m_parser.reset();
    HttpRequest request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    m_keepAlive = message.keep_alive();
    m_isHeadRequest = message.method() == http::verb::head;
    request.body = std::move(message.body());
    request.fields = std::move(message.base());
    request.arrivedAt = steadyNow();
    if (!callGuarded("request",
                     [&] { m_hooks->onRequest(shared_from_this(), std::move(request)); }))
        onCallerDisconnected();
}

void HttpServerConnection::reject(int status, const char *reason)
{
    m_state = State::Handling;
    m_keepAlive = false;
    m_isHeadRequest = false;
    m_hooks->onRejected(status, reason);
    sendResponse(status, "", reason);
}

void HttpServerConnection::writeHeader(int status, std::string_view fields,
                                       std::string_view framing)
{
    if (m_hooks->isStopping())
        m_keepAlive = false;
    m_out += "HTTP/1.1 ";
    appendNumber(m_out, static_cast<std::size_t>(status), 10);
    m_out += ' ';
    const auto reason = http::obsolete_reason(static_cast<http::status>(status));
    m_out.append(reason.data(), reason.size());
    m_out += "\r\n";
    m_out += fields;
    m_out += framing;
    if (!m_keepAlive)
        m_out += "Connection: close\r\n";
    m_out += "\r\n";
}

void HttpServerConnection::sendResponse(int status, std::string_view fields, std::string_view body)
{
    if (m_state != State::Handling)
        return;
    std::string framing;
    if (hasBody(status)) {
        framing = "Content-Length: ";
        appendNumber(framing, body.size(), 10);
        framing += "\r\n";
    }
    writeHeader(status, fields, framing);
    if (!m_isHeadRequest && hasBody(status))
        m_out += body;
    finishResponse();
}

void HttpServerConnection::beginChunkedResponse(int status, std::string_view fields)
{
    if (m_state != State::Handling)
        return;
    m_chunked = true;
    writeHeader(status, fields, "Transfer-Encoding: chunked\r\n");
    flush();
}

void HttpServerConnection::writeChunk(std::string_view data)
{
    if (m_state != State::Handling || data.empty() || m_isHeadRequest)
        return;
    appendNumber(m_out, data.size(), 16);
    m_out += "\r\n";
    m_out += data;
    m_out += "\r\n";
    m_needsSendBufferEmptyCall = unsentBytes() > slowCallerBytes;
    flush();
}

void HttpServerConnection::endChunkedResponse()
{
    if (m_state != State::Handling)
        return;
    if (m_chunked && !m_isHeadRequest)
        m_out += "0\r\n\r\n";
    finishResponse();
}

void HttpServerConnection::abort()
{
    close();
}

void HttpServerConnection::finishResponse()
{
    m_onDisconnect = nullptr;
    m_onSendBufferEmpty = nullptr;
    m_needsSendBufferEmptyCall = false;
    // The header of a long response may have been sent before the shutdown began.
    if (!m_keepAlive || m_hooks->isStopping()) {
        m_state = State::Finishing;
        flush();
        return;
    }
    beginRequest();
    flush();
    if (m_in.empty()) {
        awaitBytes();
        return;
    }
    // The next request arrived before this response; it is parsed from the loop, not from this
    // call.
    asio::post(m_socket.get_executor(), [self = shared_from_this()] {
        if (self->m_state != State::Reading)
            return;
        self->parse();
        self->awaitBytes();
    });
}

void HttpServerConnection::flush()
{
    if (!m_writing.empty() || m_state == State::Closed)
        return;
    if (m_out.empty()) {
        onFlushed({});
        return;
    }
    m_writing.swap(m_out);
    asio::async_write(m_socket, asio::buffer(m_writing),
                      [self = shared_from_this()](const SystemErrorCode &ec, std::size_t) {
                          self->m_writing.clear();
                          self->onFlushed(ec);
                      });
}

void HttpServerConnection::onFlushed(const SystemErrorCode &ec)
{
    if (m_state == State::Closed)
        return;
    if (ec) {
        onCallerDisconnected();
        return;
    }
    if (!m_out.empty()) {
        flush();
        return;
    }
    if (m_state == State::Finishing) {
        startLingeringClose();
        return;
    }
    if (m_needsSendBufferEmptyCall && m_onSendBufferEmpty) {
        m_needsSendBufferEmptyCall = false;
        m_onSendBufferEmpty();
    }
}

// Closing with unread bytes would reset the connection, and the response could be lost.
void HttpServerConnection::startLingeringClose()
{
    m_state = State::Lingering;
    SystemErrorCode ignored;
    m_socket.shutdown(Tcp::socket::shutdown_send, ignored);
    setTimer(lingerTime);
    awaitBytes();
}

void HttpServerConnection::setTimer(std::chrono::milliseconds time)
{
    m_timer.expires_after(time);
    m_timer.async_wait([weak = weak_from_this()](const SystemErrorCode &ec) {
        const auto self = weak.lock();
        if (!ec && self)
            self->onTimer();
    });
}

void HttpServerConnection::onTimer()
{
    // The timer may have been restarted while this call was already queued.
    if (m_timer.expiry() > std::chrono::steady_clock::now())
        return;
    if (m_state == State::Lingering) {
        close();
        return;
    }
    if (m_state != State::Reading)
        return;
    if (!m_requestBegun) {
        closeIfIdle();
        return;
    }
    reject(408, "the request took too long to arrive");
}

void HttpServerConnection::closeIfIdle()
{
    if (m_state != State::Reading || m_requestBegun)
        return;
    // The socket may hold a request that the loop has not noticed yet.
    SystemErrorCode ec;
    const std::string_view data = readAvailable(m_socket, ec);
    if (ec || data.empty()) {
        close();
        return;
    }
    m_in.append(data);
    parse();
    awaitBytes();
}

void HttpServerConnection::onCallerDisconnected()
{
    const auto onDisconnect = std::exchange(m_onDisconnect, nullptr);
    close();
    if (onDisconnect)
        onDisconnect();
}

void HttpServerConnection::close()
{
    if (m_state == State::Closed)
        return;
    m_state = State::Closed;
    m_onDisconnect = nullptr;
    m_onSendBufferEmpty = nullptr;
    m_timer.cancel();
    SystemErrorCode ignored;
    m_socket.close(ignored);
    m_hooks->onClosed(this);
}

} // namespace quetzalyoke
