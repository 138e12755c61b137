#include "Adapters/Async/ClientConnection.h"

#include "Adapters/Async/SocketOptions.h"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/rfc7230.hpp>

#include <array>
#include <charconv>
#include <limits>

namespace quetzalyoke {

namespace {

// Of an answer; servers send a few hundred bytes.
constexpr std::uint32_t answerHeaderBytes = 65'536;

// Of a chunk's line or a trailer, which the parser doesn't bound.
constexpr std::size_t unfinishedBytes = answerHeaderBytes;

// A server that doesn't say how long it keeps an idle connection may close it within a second.
constexpr std::chrono::milliseconds unstatedIdleTime{400};

// The server's clock starts when it has sent its answer, up to a round trip before ours.
constexpr double usedShareOfIdleTime = 0.8;

std::chrono::milliseconds statedIdleTime(const boost::beast::http::fields &fields)
{
    for (const auto &parameter : boost::beast::http::param_list(
             ";" + std::string(fields[boost::beast::http::field::keep_alive]))) {
        if (!boost::beast::iequals(parameter.first, "timeout"))
            continue;
        int seconds = 0;
        const auto text = parameter.second;
        std::from_chars(text.data(), text.data() + text.size(), seconds);
        if (seconds > 0)
            return std::chrono::milliseconds(
                static_cast<std::int64_t>(seconds * 1000 * usedShareOfIdleTime));
    }
    return unstatedIdleTime;
}

} // namespace

const char *exchangeEndText(ExchangeEnd end)
{
    switch (end) {
    case ExchangeEnd::Complete:
        return "complete";
    case ExchangeEnd::NotSent:
        return "not_sent";
    case ExchangeEnd::Cut:
        return "cut";
    case ExchangeEnd::Malformed:
        return "malformed";
    }
    return "unknown";
}

ClientConnection::ClientConnection(asio::io_context &loop, const Address &peer,
                                   const Limits &limits)
    : m_loop(loop), m_socket(loop), m_connectTimer(loop), m_peer(peer), m_limits(limits),
      m_idleTime(unstatedIdleTime)
{ }

void ClientConnection::send(std::string request, bool isHead, ExchangeHooks hooks)
{
    m_request = std::move(request);
    m_hooks = std::move(hooks);
    m_isHead = isHead;
    m_answerEnded = false;
    m_sent = false;
    m_paused = false;
    startParser();
    if (m_state == State::New) {
        connect();
        return;
    }
    m_state = State::Busy;
    write();
}

void ClientConnection::connect()
{
    m_state = State::Connecting;
    SystemError ec;
    const auto host = asio::ip::make_address(m_peer.host, ec);
    if (ec) {
        // Reported from the loop, so that send() never calls a hook.
        asio::post(m_loop, [self = shared_from_this()] { self->fail(ExchangeEnd::NotSent); });
        return;
    }
    m_connectTimer.expires_after(m_limits.connect);
    m_connectTimer.async_wait([weak = weak_from_this()](const SystemError &timerEc) {
        const auto self = weak.lock();
        if (!timerEc && self && self->m_state == State::Connecting)
            self->fail(ExchangeEnd::NotSent);
    });
    const Tcp::endpoint peer(host, static_cast<unsigned short>(m_peer.port));
    m_socket.async_connect(peer, [self = shared_from_this()](const SystemError &connectEc) {
        self->onConnected(connectEc);
    });
}

void ClientConnection::onConnected(const SystemError &ec)
{
    if (m_state != State::Connecting)
        return;
    m_connectTimer.cancel();
    if (ec || (m_hooks.maySend && !m_hooks.maySend())) {
        fail(ExchangeEnd::NotSent);
        return;
    }
    tuneConnection(m_socket, m_limits.silence);
    m_state = State::Busy;
    write();
    awaitBytes();
}

void ClientConnection::write()
{
    m_writing = true;
    m_sent = true;
    asio::async_write(
        m_socket, asio::buffer(m_request),
        [self = shared_from_this()](const SystemError &ec, std::size_t) { self->onWritten(ec); });
}

void ClientConnection::onWritten(const SystemError &ec)
{
    m_writing = false;
    if (m_state != State::Busy)
        return;
    std::string().swap(m_request);
    // A broken connection may still hold an answer that was sent before it broke; reading tells.
    if (ec)
        m_keepAlive = false;
    if (m_answerEnded)
        becomeIdle();
}

bool ClientConnection::isQuiet()
{
    if (m_state != State::Idle)
        return false;
    std::array<char, 1> buf{};
    SystemError ec;
    m_socket.receive(asio::buffer(buf), Tcp::socket::message_peek, ec);
    return ec == asio::error::would_block;
}

void ClientConnection::resumeReading()
{
    if (!m_paused)
        return;
    m_paused = false;
    if (m_state == State::Busy && parseMore())
        awaitBytes();
}

void ClientConnection::awaitBytes()
{
    if (m_paused || m_state == State::Closed)
        return;
    m_readable.start(m_socket, shared_from_this(), [this] {
        if (m_state != State::Closed)
            onReadable();
    });
}

void ClientConnection::onReadable()
{
    SystemError ec;
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
        fail(ExchangeEnd::Cut);
        return;
    }
    take(data);
}

void ClientConnection::take(std::string_view data)
{
    // Bytes that nobody asked for belong to no request.
    if (m_state != State::Busy || m_answerEnded) {
        fail(ExchangeEnd::Cut);
        return;
    }
    m_unparsed.append(data);
    if (parseMore())
        awaitBytes();
}

// False once the connection is closed or has stopped reading.
bool ClientConnection::parseMore()
{
    const auto self = shared_from_this(); // hooks may drop the last other reference
    while (!m_unparsed.empty() && !m_paused) {
        SystemError ec;
        const std::size_t n = m_parser->put(asio::buffer(m_unparsed), ec);
        m_unparsed.erase(0, n);
        if (m_state != State::Busy)
            return m_state == State::Idle;
        if (ec == boost::beast::http::error::need_more && m_unparsed.size() <= unfinishedBytes)
            return true;
        if (ec) {
            fail(ExchangeEnd::Malformed);
            return false;
        }
        if (m_parser->is_header_done() && !m_headSeen && !onHeadParsed())
            return false;
        if (!m_parser->is_done())
            continue;
        const bool wasSkipped = m_skipping;
        if (!wasSkipped) {
            onAnswerEnd();
            return m_state == State::Busy || m_state == State::Idle;
        }
        startParser();
    }
    return !m_paused;
}

void ClientConnection::startParser()
{
    m_parser = std::make_unique<internal::AnswerParser>([this](std::string_view data) {
        if (!m_skipping && m_hooks.onBody)
            m_hooks.onBody(data);
    });
    m_parser->eager(false);
    m_parser->header_limit(answerHeaderBytes);
    m_parser->body_limit(std::numeric_limits<std::uint64_t>::max());
    if (m_isHead)
        m_parser->skip(true);
    m_headSeen = false;
    m_skipping = false;
}

// False once a hook has closed the connection.
bool ClientConnection::onHeadParsed()
{
    m_headSeen = true;
    const bool isInterim = m_parser->status() < 200;
    m_skipping = isInterim
        || m_hooks.onHead(m_parser->status(), m_parser->fields()) == ExchangeHooks::Head::Skip;
    return m_state == State::Busy;
}

void ClientConnection::onEndOfStream()
{
    if (m_state != State::Busy || m_answerEnded) {
        fail(ExchangeEnd::Cut);
        return;
    }
    SystemError ec;
    m_parser->put_eof(ec);
    // An answer without a length ends with its connection.
    if (!ec && m_parser->is_done() && m_headSeen && !m_skipping) {
        m_keepAlive = false;
        const auto hooks = std::exchange(m_hooks, {});
        close();
        hooks.onEnd(ExchangeEnd::Complete);
        return;
    }
    fail(ExchangeEnd::Cut);
}

void ClientConnection::onAnswerEnd()
{
    m_answerEnded = true;
    // Whatever follows a whole answer on its connection can't be trusted.
    m_keepAlive = m_parser->keep_alive() && m_unparsed.empty();
    m_idleTime = statedIdleTime(m_parser->fields());
    const auto hooks = std::exchange(m_hooks, {});
    if (!m_writing)
        becomeIdle();
    hooks.onEnd(ExchangeEnd::Complete);
}

void ClientConnection::becomeIdle()
{
    if (!m_keepAlive) {
        close();
        return;
    }
    m_state = State::Idle;
    m_idleUntil = loopNow() + m_idleTime;
    awaitBytes();
    if (m_onIdle)
        m_onIdle(shared_from_this());
}

void ClientConnection::fail(ExchangeEnd end)
{
    if (m_state == State::Closed)
        return;
    const bool hadExchange = m_state == State::Connecting || m_state == State::Busy;
    const auto hooks = std::exchange(m_hooks, {});
    const ExchangeEnd told = m_sent ? end : ExchangeEnd::NotSent;
    close();
    if (hadExchange && hooks.onEnd)
        hooks.onEnd(told);
}

void ClientConnection::close()
{
    if (m_state == State::Closed)
        return;
    m_state = State::Closed;
    // close() may be called from one of the hooks, which must outlive its own call.
    if (m_hooks.onEnd)
        asio::post(m_loop, [hooks = std::exchange(m_hooks, {})] {});
    m_connectTimer.cancel();
    SystemError ignored;
    m_socket.close(ignored);
    m_onIdle = nullptr;
}

} // namespace quetzalyoke
