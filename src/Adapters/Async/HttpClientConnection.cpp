#include "Adapters/Async/HttpClientConnection.h"

#include "Adapters/Async/HandlerGuard.h"
#include "Adapters/Async/SocketOptions.h"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/rfc7230.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>

namespace quetzalyoke {

namespace {

// Largest response header; servers send a few hundred bytes.
constexpr std::uint32_t maxResponseHeaderBytes = 65'536;

// Largest chunk header or trailer; the parser does not limit them.
constexpr std::size_t maxUnparsedBytes = maxResponseHeaderBytes;

// A server that doesn't state its idle timeout may close an idle connection within a second.
constexpr std::chrono::milliseconds defaultIdleTimeout{400};

// Part of the server's idle timeout that is used: the server's timer starts when it has sent its
// response, up to a round trip earlier than this side's.
constexpr double usedShareOfIdleTimeout = 0.8;

// Longer stated timeouts are cut, so that times calculated from them don't overflow.
constexpr std::int64_t maxIdleTimeoutSeconds = 24LL * 3600;

std::chrono::milliseconds usableIdleTimeout(const boost::beast::http::fields &fields)
{
    // The list refers to the text, which therefore has a name.
    const std::string list = ";" + std::string(fields[boost::beast::http::field::keep_alive]);
    for (const auto &parameter : boost::beast::http::param_list(list)) {
        if (!boost::beast::iequals(parameter.first, "timeout"))
            continue;
        std::int64_t seconds = 0;
        const auto text = parameter.second;
        const auto result = std::from_chars(text.data(), text.data() + text.size(), seconds);
        const bool isTooLarge
            = result.ec == std::errc::result_out_of_range && !text.starts_with('-');
        seconds = isTooLarge ? maxIdleTimeoutSeconds : std::min(seconds, maxIdleTimeoutSeconds);
        if (seconds > 0)
            return std::chrono::milliseconds(static_cast<std::int64_t>(
                static_cast<double>(seconds) * 1000 * usedShareOfIdleTimeout));
    }
    return defaultIdleTimeout;
}

// Time in which the reset by a server that has ended arrives, several round trips.
constexpr std::chrono::milliseconds resetArrivalTime{250};

} // namespace

const char *exchangeOutcomeText(ExchangeOutcome outcome)
{
    switch (outcome) {
    case ExchangeOutcome::Complete:
        return "complete";
    case ExchangeOutcome::NotSent:
        return "not_sent";
    case ExchangeOutcome::Incomplete:
        return "cut";
    case ExchangeOutcome::Malformed:
        return "malformed";
    }
    return "unknown";
}

HttpClientConnection::HttpClientConnection(asio::io_context &loop, const Address &peer,
                                           const Limits &limits)
    : m_loop(loop), m_socket(loop), m_timer(loop), m_peer(peer), m_limits(limits),
      m_idleTimeout(defaultIdleTimeout)
{ }

void HttpClientConnection::send(std::string request, bool isHead, ExchangeHooks hooks)
{
    m_request = std::move(request);
    m_hooks = std::move(hooks);
    m_isHeadRequest = isHead;
    m_responseEnded = false;
    m_sent = false;
    m_writeFailed = false;
    m_paused = false;
    startParser();
    if (m_state == State::New) {
        connect();
        return;
    }
    m_state = State::Busy;
    write();
}

void HttpClientConnection::connect()
{
    m_state = State::Connecting;
    SystemErrorCode ec;
    const auto host = asio::ip::make_address(m_peer.host, ec);
    if (ec) {
        // Reported from the loop, because send() must not call a hook itself.
        asio::post(m_loop, [self = shared_from_this()] { self->fail(ExchangeOutcome::NotSent); });
        return;
    }
    m_timer.expires_after(m_limits.connectTimeout);
    m_timer.async_wait([weak = weak_from_this()](const SystemErrorCode &timerEc) {
        const auto self = weak.lock();
        if (!timerEc && self && self->m_state == State::Connecting)
            self->fail(ExchangeOutcome::NotSent);
    });
    const Tcp::endpoint peer(host, static_cast<unsigned short>(m_peer.port));
    m_socket.async_connect(peer, [self = shared_from_this()](const SystemErrorCode &connectEc) {
        self->onConnected(connectEc);
    });
}

void HttpClientConnection::onConnected(const SystemErrorCode &ec)
{
    if (m_state != State::Connecting)
        return;
    m_timer.cancel();
    m_wasRefused = ec == asio::error::connection_refused;
    if (ec || (m_hooks.maySend && !m_hooks.maySend())) {
        fail(ExchangeOutcome::NotSent);
        return;
    }
    setSocketOptions(m_socket, m_limits.tcpUserTimeout);
    m_state = State::Busy;
    write();
    awaitBytes();
}

void HttpClientConnection::write()
{
    m_writing = true;
    m_sent = true;
    asio::async_write(m_socket, asio::buffer(m_request),
                      [self = shared_from_this()](const SystemErrorCode &ec, std::size_t) {
                          self->onWritten(ec);
                      });
}

void HttpClientConnection::onWritten(const SystemErrorCode &ec)
{
    m_writing = false;
    if (m_state != State::Busy)
        return;
    std::string().swap(m_request);
    // A response that was sent before the connection broke may still be received, so reading goes
    // on.
    m_writeFailed = ec.failed();
    if (m_writeFailed)
        m_keepAlive = false;
    if (m_awaitsEndOfRequest)
        endByClose();
    else if (m_responseEnded)
        becomeIdle();
}

bool HttpClientConnection::isReusable()
{
    if (m_state != State::Idle)
        return false;
    std::array<char, 1> buf{};
    SystemErrorCode ec;
    m_socket.receive(asio::buffer(buf), Tcp::socket::message_peek, ec);
    return ec == asio::error::would_block;
}

void HttpClientConnection::resumeReading()
{
    if (!m_paused)
        return;
    m_paused = false;
    if (m_state == State::Busy && parseMore())
        awaitBytes();
}

void HttpClientConnection::awaitBytes()
{
    if (m_paused || m_state == State::Closed)
        return;
    m_readable.start(m_socket, shared_from_this(), [this] {
        if (m_state != State::Closed && !callGuarded("server", [this] { onReadable(); }))
            fail(ExchangeOutcome::Incomplete);
    });
}

void HttpClientConnection::onReadable()
{
    SystemErrorCode ec;
    const std::string_view data = readAvailable(m_socket, ec);
    if (ec == asio::error::would_block || ec == asio::error::interrupted) {
        awaitBytes();
        return;
    }
    if (ec == asio::error::eof) {
        onEndOfStream();
        return;
    }
    if (ec) {
        fail(ExchangeOutcome::Incomplete);
        return;
    }
    onReceived(data);
}

void HttpClientConnection::onReceived(std::string_view data)
{
    // Bytes that arrive without a pending request belong to no response.
    if (m_state != State::Busy || m_responseEnded) {
        fail(ExchangeOutcome::Incomplete);
        return;
    }
    m_unparsed.append(data);
    if (parseMore())
        awaitBytes();
}

// Returns false once the connection is closed or reading is paused.
bool HttpClientConnection::parseMore()
{
    const auto self = shared_from_this(); // a hook may release the last other reference
    while (!m_unparsed.empty() && !m_paused) {
        SystemErrorCode ec;
        const std::size_t n = m_parser->put(asio::buffer(m_unparsed), ec);
        m_unparsed.erase(0, n);
        if (m_state != State::Busy)
            return m_state == State::Idle;
        if (ec == boost::beast::http::error::need_more && m_unparsed.size() <= maxUnparsedBytes)
            return true;
        if (ec) {
            fail(ExchangeOutcome::Malformed);
            return false;
        }
        if (m_parser->is_header_done() && !m_headerParsed && !onHeaderParsed())
            return false;
        if (!m_parser->is_done())
            continue;
        const bool wasSkipped = m_skippingResponse;
        if (!wasSkipped) {
            onResponseEnd();
            return m_state == State::Busy || m_state == State::Idle;
        }
        startParser();
    }
    return !m_paused;
}

void HttpClientConnection::startParser()
{
    m_parser = std::make_unique<internal::ResponseParser>([this](std::string_view data) {
        if (!m_skippingResponse && m_hooks.onBody)
            m_hooks.onBody(data);
    });
    m_parser->eager(false);
    m_parser->header_limit(maxResponseHeaderBytes);
    m_parser->body_limit(std::numeric_limits<std::uint64_t>::max());
    if (m_isHeadRequest)
        m_parser->skip(true);
    m_headerParsed = false;
    m_skippingResponse = false;
}

// Returns false if a hook has closed the connection.
bool HttpClientConnection::onHeaderParsed()
{
    m_headerParsed = true;
    const bool isInterim = m_parser->status() < 200;
    m_skippingResponse = isInterim
        || m_hooks.onHeader(m_parser->status(), m_parser->fields())
            == ExchangeHooks::HeaderDecision::Skip;
    return m_state == State::Busy;
}

void HttpClientConnection::onEndOfStream()
{
    if (m_state != State::Busy || m_responseEnded) {
        fail(ExchangeOutcome::Incomplete);
        return;
    }
    SystemErrorCode ec;
    m_parser->put_eof(ec);
    // A response without a length ends when the server closes the connection.
    const bool isEndedByClose = !ec && m_parser->is_done() && m_headerParsed && !m_skippingResponse;
    if (!isEndedByClose)
        fail(ExchangeOutcome::Incomplete);
    else if (m_writing)
        awaitEndOfRequest();
    else
        endByClose();
}

// Called when a response without a length has ended before its request was written. The system
// reports a reset once: if the write gets that error, reading shows an ordinary end. A server whose
// process has ended may also close in order first, and reset only when more of the request arrives.
// So the response counts once the request is written, or if the server reads no more of it but does
// not reset the connection either.
void HttpClientConnection::awaitEndOfRequest()
{
    m_awaitsEndOfRequest = true;
    m_timer.expires_after(resetArrivalTime);
    m_timer.async_wait([weak = weak_from_this()](const SystemErrorCode &ec) {
        const auto self = weak.lock();
        if (!ec && self && self->m_state == State::Busy)
            self->endByClose();
    });
}

void HttpClientConnection::endByClose()
{
    if (m_writeFailed) {
        fail(ExchangeOutcome::Incomplete);
        return;
    }
    m_keepAlive = false;
    m_isResponseEndedByClose = true;
    const auto hooks = std::exchange(m_hooks, {});
    close();
    hooks.onEnd(ExchangeOutcome::Complete);
}

void HttpClientConnection::onResponseEnd()
{
    m_responseEnded = true;
    // Bytes that follow a complete response can't be attributed, so the connection is not reused.
    m_keepAlive = m_parser->keep_alive() && m_unparsed.empty();
    m_idleTimeout = usableIdleTimeout(m_parser->fields());
    const auto hooks = std::exchange(m_hooks, {});
    if (!m_writing)
        becomeIdle();
    hooks.onEnd(ExchangeOutcome::Complete);
}

void HttpClientConnection::becomeIdle()
{
    if (!m_keepAlive) {
        close();
        return;
    }
    m_state = State::Idle;
    m_parser.reset(); // of a long header it holds far more than its text
    std::string().swap(m_unparsed);
    m_paused = false; // the response may have ended while its reader was paused
    m_idleExpiresAt = steadyNow() + m_idleTimeout;
    awaitBytes();
    if (m_onIdle)
        m_onIdle(shared_from_this());
}

void HttpClientConnection::fail(ExchangeOutcome outcome)
{
    if (m_state == State::Closed)
        return;
    const bool hadExchange = m_state == State::Connecting || m_state == State::Busy;
    const auto hooks = std::exchange(m_hooks, {});
    const ExchangeOutcome reported = m_sent ? outcome : ExchangeOutcome::NotSent;
    close();
    if (hadExchange && hooks.onEnd)
        hooks.onEnd(reported);
}

void HttpClientConnection::close()
{
    if (m_state == State::Closed)
        return;
    m_state = State::Closed;
    // close() may be called from one of the hooks, and a hook must not be destroyed while it runs.
    if (m_hooks.onEnd)
        asio::post(m_loop, [hooks = std::exchange(m_hooks, {})] {});
    m_timer.cancel();
    SystemErrorCode ignored;
    m_socket.close(ignored);
    m_onIdle = nullptr;
}

} // namespace quetzalyoke
