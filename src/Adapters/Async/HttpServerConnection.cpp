#include "Adapters/Async/HttpServerConnection.h"

#include "Adapters/Async/FieldsMemory.h"
#include "Adapters/Async/HandlerGuard.h"
#include "Adapters/Async/SocketOptions.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/status.hpp>

namespace quetzalyoke {

namespace http = boost::beast::http;

namespace {

// Beyond the request being handled, no more is read once this many bytes have been.
constexpr std::size_t maxReadAheadBytes = 16'384;

// Memory for what the owner decodes from a byte of a header field. The part of a prompt, the
// densest content, has at least 4 bytes and takes 32 once decoded and hashed.
constexpr std::size_t decodedBytesPerByte = 8;

// Bytes that are discarded after the last request. A caller that sends more has not read the
// response; the rest is not read.
constexpr std::size_t maxDiscardedBytes = 65'536;

// The most that is written to a socket at once.
constexpr std::size_t maxBytesPerWrite = 65'536;

// Empty buffers of this size or more are released.
constexpr std::size_t keptBufferBytes = 1024;

// The time after which the caller of a request that was rejected for lack of memory should return.
constexpr const char *retryFields = "Retry-After: 1\r\n";

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

// Returns the memory that \a text may occupy. Large blocks occupy only what has been written.
std::size_t occupiedBytes(const std::string &text)
{
    return text.capacity() < ReceiveBudget::largeBlockBytes ? text.capacity() : text.size();
}

void releaseIfEmpty(std::string &buffer)
{
    if (buffer.empty() && buffer.capacity() >= keptBufferBytes)
        std::string().swap(buffer);
}

} // namespace

HttpServerConnection::HttpServerConnection(Tcp::socket socket, std::shared_ptr<const Hooks> hooks)
    : m_socket(std::move(socket)), m_timer(m_socket.get_executor()), m_hooks(std::move(hooks))
{ }

HttpServerConnection::~HttpServerConnection()
{
    if (m_hooks->budget)
        m_hooks->budget->remove(this);
}

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
    m_headerBytes = 0;
    m_decodedBytes = 0;
    m_waitingSince = steadyNow();
    setTimer(limits.idleTimeout);
}

void HttpServerConnection::awaitBytes()
{
    const bool mayRead = m_state != State::Closed
        && (m_state != State::Handling || m_in.size() < maxReadAheadBytes)
        && m_discardedBytes < maxDiscardedBytes;
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
        m_discardedBytes += data.size();
        awaitBytes();
        return;
    }
    if (m_state == State::Reading) {
        parse(data);
    } else {
        m_in.append(data);
        recordHeldBytes(data.size());
    }
    awaitBytes();
}

// Parses what has arrived before and \a received. Only what the parser can't take yet is kept.
void HttpServerConnection::parse(std::string_view received)
{
    const bool isCopied = !m_in.empty();
    if (isCopied)
        m_in.append(received);
    std::string_view bytes = isCopied ? std::string_view(m_in) : received;
    if (!m_requestBegun && !bytes.empty()) {
        m_requestBegun = true;
        setTimer(m_hooks->limits().headerTimeout);
    }
    Problem problem;
    const Parsed parsed = parseBytes(bytes, problem);
    if (isCopied)
        m_in.erase(0, m_in.size() - bytes.size());
    else
        m_in.assign(bytes);
    releaseIfEmpty(m_in);
    switch (parsed) {
    case Parsed::NeedsMore:
        m_waitingSince = steadyNow();
        recordHeldBytes(received.size());
        return;
    case Parsed::Complete:
        dispatchRequest();
        return;
    case Parsed::Rejected:
        reject(problem.status, problem.reason);
        return;
    }
}

// Removes what it has parsed from \a bytes.
HttpServerConnection::Parsed HttpServerConnection::parseBytes(std::string_view &bytes,
                                                              Problem &problem)
{
    while (!bytes.empty()) {
        SystemErrorCode ec;
        const std::size_t n = m_parser->put(asio::buffer(bytes.data(), bytes.size()), ec);
        bytes.remove_prefix(n);
        if (ec == http::error::need_more) {
            // The parser limits neither a chunk header nor a trailer.
            const bool isTooLong = bytes.size() > m_hooks->limits().headerBytes;
            ec = isTooLong ? http::error::header_limit : SystemErrorCode();
        } else if (n == 0 && !ec)
            ec = http::error::bad_value;
        if (ec) {
            problem = ec == http::error::header_limit ? Problem{431, "the header is too large"}
                : ec == http::error::body_limit       ? Problem{413, "the body is too large"}
                                                : Problem{400, "the request is not valid HTTP"};
            return Parsed::Rejected;
        }
        if (m_parser->is_header_done() && !m_headerChecked) {
            if (const auto found = checkHeader()) {
                problem = *found;
                return Parsed::Rejected;
            }
        }
        if (m_parser->is_done())
            return Parsed::Complete;
        if (n == 0)
            break;
    }
    return Parsed::NeedsMore;
}

// Rejects headers that the parser accepts but that another parser on the way may read differently.
std::optional<HttpServerConnection::Problem> HttpServerConnection::checkHeader()
{
    m_headerChecked = true;
    const auto &message = m_parser->get();
    m_headerBytes = fieldsBytes(message);
    for (const auto &field : message)
        m_decodedBytes += (field.name_string().size() + field.value().size()) * decodedBytesPerByte;
    if (message.version() != 11)
        return Problem{505, "only HTTP/1.1 is supported"};
    const auto coding = message[http::field::transfer_encoding];
    if (message.count(http::field::transfer_encoding) > 1
        || (!coding.empty() && !boost::beast::iequals(coding, "chunked")))
        return Problem{400, "the transfer coding is not supported"};
    const bool hasLength = message.count(http::field::content_length) > 0;
    if (message.count(http::field::content_length) > 1 || (hasLength && !coding.empty()))
        return Problem{400, "the length is stated more than once"};
    if (message.count(http::field::host) != 1)
        return Problem{400, "there must be exactly one Host header"};
    if (!message.target().starts_with('/'))
        return Problem{400, "the target is not a path"};
    if (boost::beast::iequals(message[http::field::expect], "100-continue")) {
        m_out += "HTTP/1.1 100 Continue\r\n\r\n";
        flush();
    }
    return {};
}

// Returns the memory of the request that is being parsed.
std::size_t HttpServerConnection::requestBytes() const
{
    return m_parser ? m_headerBytes + occupiedBytes(m_parser->get().body()) : 0;
}

void HttpServerConnection::recordHeldBytes(std::size_t movedBytes)
{
    ReceiveBudget *budget = m_hooks->budget.get();
    if (!budget)
        return;
    // A string of a few bytes needs no memory of its own.
    const std::size_t buffered = m_in.size() + m_out.size() + m_writing.size() == 0
        ? 0
        : occupiedBytes(m_in) + occupiedBytes(m_out) + occupiedBytes(m_writing);
    budget->record(this, m_state == State::Closed ? 0 : requestBytes() + buffered, movedBytes,
                   steadyNow());
    // Posted, because closing a connection calls its owner, which may be writing to it just now.
    if (budget->beginEviction()) {
        asio::post(m_socket.get_executor(),
                   [shared = m_hooks->budget] { shared->evictExcess(steadyNow()); });
    }
}

void HttpServerConnection::evict()
{
    const auto self = shared_from_this();
    reportEviction("memory");
    if (m_state == State::Reading && m_requestBegun && unsentBytes() <= slowCallerBytes)
        reject(503, "memory");
    else
        onCallerDisconnected();
}

void HttpServerConnection::reportEviction(const char *reason) const
{
    if (m_hooks->onEvicted)
        m_hooks->onEvicted(reason,
                           requestBytes() + occupiedBytes(m_in) + occupiedBytes(m_out)
                               + occupiedBytes(m_writing));
}

bool HttpServerConnection::replace()
{
    if (m_state == State::Reading && !m_requestBegun)
        closeIfIdle();
    else if (isReplaceable())
        close();
    if (m_state == State::Closed)
        reportEviction("connections");
    return m_state == State::Closed;
}

void HttpServerConnection::dispatchRequest()
{
    HttpRequest request;
    if (const auto &slots = m_hooks->requestSlots) {
        if (slots->amount >= slots->limit) {
            reject(503, "connections");
            return;
        }
        request.slot = ResourceCharge(slots, 1);
    }
    if (m_hooks->budget) {
        const std::size_t bytes = requestBytes() + m_decodedBytes;
        if (!m_hooks->budget->mayTakeOn(bytes)) {
            reject(503, "memory");
            return;
        }
        request.memory = m_hooks->budget->chargeRequest(bytes);
    }
    m_state = State::Handling;
    m_timer.cancel();
    auto message = m_parser->release();
    m_parser.reset();
    recordHeldBytes(0);
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
    // The connection may stay open for some time until the caller has read the response.
    m_parser.reset();
    std::string().swap(m_in);
    m_hooks->onRejected(status, reason);
    sendResponse(status, status == 503 ? retryFields : "", reason);
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
        self->parse({});
        self->awaitBytes();
    });
}

void HttpServerConnection::flush()
{
    if (m_state == State::Closed)
        return;
    if (!m_writing.empty()) {
        recordHeldBytes(0);
        return;
    }
    if (m_out.empty()) {
        onFlushed({});
        return;
    }
    m_writing.swap(m_out);
    recordHeldBytes(0);
    const auto onProgress = [self = shared_from_this(), last = std::size_t(0)](
                                const SystemErrorCode &ec, std::size_t n) mutable {
        if (n > last)
            self->recordHeldBytes(n - std::exchange(last, n));
        return ec ? std::size_t(0) : maxBytesPerWrite;
    };
    asio::async_write(m_socket, asio::buffer(m_writing), onProgress,
                      [self = shared_from_this()](const SystemErrorCode &ec, std::size_t) {
                          self->m_writing.clear();
                          releaseIfEmpty(self->m_writing);
                          self->recordHeldBytes(0);
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
    m_waitingSince = steadyNow();
    // The timer keeps the connection alive, since it may not be reading any more.
    m_timer.expires_after(lingerTime);
    m_timer.async_wait([self = shared_from_this()](const SystemErrorCode &ec) {
        if (!ec)
            self->onTimer();
    });
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
    parse(data);
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
    m_parser.reset();
    std::string().swap(m_in);
    std::string().swap(m_out);
    recordHeldBytes(0);
    SystemErrorCode ignored;
    m_socket.close(ignored);
    m_hooks->onClosed(this);
}

} // namespace quetzalyoke
