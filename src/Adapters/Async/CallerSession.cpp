#include "Adapters/Async/CallerSession.h"

#include "Adapters/Async/SocketOptions.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/status.hpp>

namespace quetzalyoke {

namespace http = boost::beast::http;

namespace {

// Bytes read ahead of the request that is being answered.
constexpr std::size_t readAheadBytes = 65'536;

// Below this many unsent bytes a slow caller has caught up.
constexpr std::size_t drainedBytes = 16'384;

// For a caller to read a last answer and close, before the connection is reset.
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

CallerSession::CallerSession(Tcp::socket socket, std::shared_ptr<const Hooks> hooks)
    : m_socket(std::move(socket)), m_timer(m_socket.get_executor()), m_hooks(std::move(hooks))
{ }

void CallerSession::start()
{
    tuneConnection(m_socket, m_hooks->limits().silence);
    beginRequest();
    awaitBytes();
}

void CallerSession::beginRequest()
{
    const SessionLimits limits = m_hooks->limits();
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

void CallerSession::awaitBytes()
{
    const bool mayRead
        = m_state != State::Closed && (m_state != State::Handling || m_in.size() < readAheadBytes);
    if (!mayRead)
        return;
    m_readable.start(m_socket, shared_from_this(), [this] {
        if (m_state != State::Closed)
            onReadable();
    });
}

void CallerSession::onReadable()
{
    SystemError ec;
    const std::string_view data = readAvailable(m_socket, ec);
    if (ec == asio::error::would_block || ec == asio::error::interrupted) {
        awaitBytes();
        return;
    }
    if (ec) {
        onCallerGone();
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

void CallerSession::parse()
{
    if (!m_requestBegun && !m_in.empty()) {
        m_requestBegun = true;
        setTimer(m_hooks->limits().headerTimeout);
    }
    while (!m_in.empty() && m_state == State::Reading) {
        SystemError ec;
        const std::size_t n = m_parser->put(asio::buffer(m_in), ec);
        m_in.erase(0, n);
        if (ec == http::error::need_more) {
            // The parser bounds neither a chunk's line nor a trailer.
            const bool isOverlong = m_in.size() > m_hooks->limits().headerBytes;
            ec = isOverlong ? http::error::header_limit : SystemError();
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
            reject(400, "the request is no HTTP");
            return;
        }
        if (m_parser->is_header_done() && !m_headerChecked && !checkHeader())
            return;
        if (m_parser->is_done()) {
            handle();
            return;
        }
        if (n == 0)
            return;
    }
}

// What the parser lets pass, but another parser on the way might read differently.
bool CallerSession::checkHeader()
{
    m_headerChecked = true;
    const auto &message = m_parser->get();
    if (message.version() != 11) {
        reject(505, "only HTTP/1.1 is spoken");
        return false;
    }
    const auto coding = message[http::field::transfer_encoding];
    if (message.count(http::field::transfer_encoding) > 1
        || (!coding.empty() && !boost::beast::iequals(coding, "chunked"))) {
        reject(400, "the transfer coding is unknown");
        return false;
    }
    const bool hasLength = message.count(http::field::content_length) > 0;
    if (message.count(http::field::content_length) > 1 || (hasLength && !coding.empty())) {
        reject(400, "the length is stated twice");
        return false;
    }
    if (message.count(http::field::host) != 1) {
        reject(400, "there must be one host");
        return false;
    }
    if (!message.target().starts_with('/')) {
        reject(400, "the target is no path");
        return false;
    }
    if (boost::beast::iequals(message[http::field::expect], "100-continue")) {
        m_out += "HTTP/1.1 100 Continue\r\n\r\n";
        flush();
    }
    return true;
}

void CallerSession::handle()
{
    m_state = State::Handling;
    m_timer.cancel();
    auto message = m_parser->release();
    m_parser.reset();
    CallerRequest request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    m_keepAlive = message.keep_alive();
    m_isHead = message.method() == http::verb::head;
    request.body = std::move(message.body());
    request.fields = std::move(message.base());
    request.arrivedAt = loopNow();
    m_hooks->onRequest(shared_from_this(), std::move(request));
}

void CallerSession::reject(int status, const char *reason)
{
    m_state = State::Handling;
    m_keepAlive = false;
    m_isHead = false;
    m_hooks->onRejected(status, reason);
    answer(status, "", reason);
}

void CallerSession::writeHead(int status, std::string_view fields, std::string_view framing)
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

void CallerSession::answer(int status, std::string_view fields, std::string_view body)
{
    if (m_state != State::Handling)
        return;
    std::string framing;
    if (hasBody(status)) {
        framing = "Content-Length: ";
        appendNumber(framing, body.size(), 10);
        framing += "\r\n";
    }
    writeHead(status, fields, framing);
    if (!m_isHead && hasBody(status))
        m_out += body;
    finishAnswer();
}

void CallerSession::beginStream(int status, std::string_view fields)
{
    if (m_state != State::Handling)
        return;
    m_chunked = true;
    writeHead(status, fields, "Transfer-Encoding: chunked\r\n");
    flush();
}

void CallerSession::writeStream(std::string_view data)
{
    if (m_state != State::Handling || data.empty() || m_isHead)
        return;
    appendNumber(m_out, data.size(), 16);
    m_out += "\r\n";
    m_out += data;
    m_out += "\r\n";
    m_needsDrainCall = unsentBytes() > drainedBytes;
    flush();
}

void CallerSession::endStream()
{
    if (m_state != State::Handling)
        return;
    if (m_chunked && !m_isHead)
        m_out += "0\r\n\r\n";
    finishAnswer();
}

void CallerSession::abort()
{
    close();
}

void CallerSession::finishAnswer()
{
    m_onLeave = nullptr;
    m_onDrained = nullptr;
    m_needsDrainCall = false;
    // A long answer's head may have been sent before the stop began.
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
    // The next request came before this answer; it is taken from the loop, not from here.
    asio::post(m_socket.get_executor(), [self = shared_from_this()] {
        if (self->m_state != State::Reading)
            return;
        self->parse();
        self->awaitBytes();
    });
}

void CallerSession::flush()
{
    if (!m_writing.empty() || m_state == State::Closed)
        return;
    if (m_out.empty()) {
        onFlushed({});
        return;
    }
    m_writing.swap(m_out);
    asio::async_write(m_socket, asio::buffer(m_writing),
                      [self = shared_from_this()](const SystemError &ec, std::size_t) {
                          self->m_writing.clear();
                          self->onFlushed(ec);
                      });
}

void CallerSession::onFlushed(const SystemError &ec)
{
    if (m_state == State::Closed)
        return;
    if (ec) {
        onCallerGone();
        return;
    }
    if (!m_out.empty()) {
        flush();
        return;
    }
    if (m_state == State::Finishing) {
        linger();
        return;
    }
    if (m_needsDrainCall && m_onDrained) {
        m_needsDrainCall = false;
        m_onDrained();
    }
}

// Closing with unread bytes would reset the connection and take the answer with it.
void CallerSession::linger()
{
    m_state = State::Lingering;
    SystemError ignored;
    m_socket.shutdown(Tcp::socket::shutdown_send, ignored);
    setTimer(lingerTime);
    awaitBytes();
}

void CallerSession::setTimer(std::chrono::milliseconds time)
{
    m_timer.expires_after(time);
    m_timer.async_wait([weak = weak_from_this()](const SystemError &ec) {
        const auto self = weak.lock();
        if (!ec && self)
            self->onTimer();
    });
}

void CallerSession::onTimer()
{
    // The timer may have been set anew while this call was already queued.
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

void CallerSession::closeIfIdle()
{
    if (m_state != State::Reading || m_requestBegun)
        return;
    // A request may lie in the socket that the loop hasn't been told of yet.
    SystemError ec;
    const std::string_view data = readAvailable(m_socket, ec);
    if (ec || data.empty()) {
        close();
        return;
    }
    m_in.append(data);
    parse();
    awaitBytes();
}

void CallerSession::onCallerGone()
{
    const auto onLeave = std::exchange(m_onLeave, nullptr);
    close();
    if (onLeave)
        onLeave();
}

void CallerSession::close()
{
    if (m_state == State::Closed)
        return;
    m_state = State::Closed;
    m_onLeave = nullptr;
    m_onDrained = nullptr;
    m_timer.cancel();
    SystemError ignored;
    m_socket.close(ignored);
    m_hooks->onClosed(this);
}

} // namespace quetzalyoke
