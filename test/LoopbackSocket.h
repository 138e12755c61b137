#ifndef QUETZALYOKE_TEST_LOOPBACKSOCKET_H
#define QUETZALYOKE_TEST_LOOPBACKSOCKET_H

#include "Adapters/Async/EventLoop.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

#include <unistd.h>

namespace quetzalyoke {

/// Returns the address at which this process's servers listen. Each process has one of its own in
/// 127.0.0.0/8: a port that a server gives up when it crashes would otherwise be taken by a server
/// of another test process, which then answers in its place.
inline std::string loopbackHost()
{
    const auto pid = static_cast<unsigned>(::getpid());
    // Neither 127.0.0.0/16, which programs use, nor the broadcast address.
    return "127." + std::to_string(64 + (pid >> 16) % 64) + '.' + std::to_string(pid >> 8 & 0xff)
        + '.' + std::to_string(pid & 0xff);
}

inline std::string joined(std::initializer_list<std::string_view> parts)
{
    std::string out;
    for (const std::string_view part : parts)
        out += part;
    return out;
}

/// \brief Runs \a loop until \a done returns true or \a limit has passed; returns done().
template<typename Condition>
bool runUntil(asio::io_context &loop, Condition done,
              std::chrono::milliseconds limit = std::chrono::seconds(5))
{
    const auto end = std::chrono::steady_clock::now() + limit;
    loop.restart();
    while (!done() && std::chrono::steady_clock::now() < end)
        loop.run_one_for(std::chrono::milliseconds(10));
    return done();
}

/// \brief A caller that sends raw bytes and collects the bytes that it receives.
class RawClient
{
public:
    RawClient(asio::io_context &loop, int port) : m_loop(loop), m_socket(loop)
    {
        m_socket.connect(Tcp::endpoint(asio::ip::make_address(loopbackHost()),
                                       static_cast<unsigned short>(port)));
        read();
    }

    void send(const std::string &bytes) { asio::write(m_socket, asio::buffer(bytes)); }
    /// Sends as the loop runs, for more bytes than the system buffers.
    void sendFromLoop(std::string bytes)
    {
        const auto text = std::make_shared<const std::string>(std::move(bytes));
        asio::async_write(m_socket, asio::buffer(*text),
                          [text](const SystemErrorCode &, std::size_t) {});
    }
    void close() { m_socket.close(); }
    /// Closes the connection with a TCP reset.
    void reset()
    {
        m_socket.set_option(asio::socket_base::linger(true, 0));
        m_socket.close();
    }
    bool waitForText(const std::string &text)
    {
        return runUntil(m_loop, [&] { return m_received.find(text) != std::string::npos; });
    }
    bool waitForClose()
    {
        return runUntil(m_loop, [this] { return m_isClosed; });
    }
    const std::string &received() const { return m_received; }
    bool isClosed() const { return m_isClosed; }

private:
    void read()
    {
        m_socket.async_read_some(
            asio::buffer(m_buf),
            [this, alive = std::weak_ptr<int>(m_alive)](const SystemErrorCode &ec, std::size_t n) {
                if (alive.expired())
                    return;
                if (ec) {
                    m_isClosed = true;
                    return;
                }
                m_received.append(m_buf.data(), n);
                read();
            });
    }

    asio::io_context &m_loop;
    Tcp::socket m_socket;
    std::array<char, 4096> m_buf{};
    std::string m_received;
    bool m_isClosed = false;
    // The loop may call a handler after this object's end.
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

/// \brief A server that responds to the next request with bytes that the test has set.
class ScriptedServer
{
public:
    enum class End {
        KeepOpen,
        Close, ///< Close after the bytes, as a server that is done.
        Reset, ///< Reset after the bytes, as a server that has crashed.
        Crash, ///< Like Reset, and refuse new connections.
        Exit, ///< Like Close, and refuse new connections.
        Finish, ///< Close for writing only and read what is still sent.
        FinishUnread, ///< Close for writing only and read nothing more.
    };

    explicit ScriptedServer(asio::io_context &loop)
        : m_loop(loop), m_acceptor(loop, Tcp::endpoint(asio::ip::make_address(loopbackHost()), 0)),
          m_port(m_acceptor.local_endpoint().port())
    {
        accept();
    }

    /// Makes connections from now on take in little that is not read.
    void limitReceiveBuffer()
    {
        m_acceptor.set_option(asio::socket_base::receive_buffer_size(16'384));
    }
    int port() const { return m_port; }
    bool isListening() const { return m_acceptor.is_open(); }
    std::string address() const { return loopbackHost() + ":" + std::to_string(port()); }
    /// Sets the response to the next request on any connection.
    void setResponse(std::string bytes, End end = End::KeepOpen)
    {
        m_script = {std::move(bytes), end};
    }
    /// Like setResponse(), but reads nothing more after the bytes, and ends after \a delay.
    void setResponseThenEnd(std::string bytes, End end, std::chrono::milliseconds delay)
    {
        m_script = {std::move(bytes), end};
        m_endDelay = delay;
    }
    /// Sets the response to every request that begins with \a begin; it replaces no other response.
    void setResponseTo(std::string begin, std::string bytes)
    {
        m_fixedResponse = {std::move(begin), std::move(bytes)};
    }
    /// Sets the response to the next request: \a begin, then \a unit repeatedly until the caller
    /// closes the connection.
    void setRepeatingResponse(std::string begin, std::string unit)
    {
        m_script = {std::move(begin), End::KeepOpen};
        m_pause = std::chrono::milliseconds(0);
        m_unit = std::move(unit);
    }
    /// Like setRepeatingResponse(), with a \a pause between the units.
    void setPacedResponse(std::string begin, std::string unit, std::chrono::milliseconds pause)
    {
        setRepeatingResponse(std::move(begin), std::move(unit));
        m_pause = pause;
    }
    /// Resets all connections and refuses new ones, as a server that has crashed.
    void crash()
    {
        SystemErrorCode ignored;
        m_acceptor.close(ignored);
        for (const auto &weak : m_open) {
            const auto connection = weak.lock();
            if (!connection || !connection->socket.is_open())
                continue;
            connection->socket.set_option(asio::socket_base::linger(true, 0), ignored);
            connection->socket.close(ignored);
        }
    }
    std::size_t repeatedBytes() const { return m_repeatedBytes; } ///< Bytes written by repetition.
    bool isRepeating() const { return m_isRepeating; }
    const std::string &received() const { return m_received; }
    int connections() const { return m_connections; }

private:
    struct Connection
    {
        explicit Connection(Tcp::socket s) : socket(std::move(s)) { }
        Tcp::socket socket;
        std::array<char, 65536> buf{};
        bool isReading = true;
    };

    void accept()
    {
        m_acceptor.async_accept([this](const SystemErrorCode &ec, Tcp::socket socket) {
            if (ec)
                return;
            ++m_connections;
            const auto connection = std::make_shared<Connection>(std::move(socket));
            m_open.push_back(connection);
            read(connection);
            accept();
        });
    }

    void read(const std::shared_ptr<Connection> &connection)
    {
        connection->socket.async_read_some(
            asio::buffer(connection->buf),
            [this, connection](const SystemErrorCode &ec, std::size_t n) {
                if (ec)
                    return;
                m_received.append(connection->buf.data(), n);
                const bool hasFixedResponse = !m_fixedResponse.first.empty()
                    && std::string_view(connection->buf.data(), n)
                           .starts_with(m_fixedResponse.first);
                SystemErrorCode ignored;
                if (hasFixedResponse)
                    asio::write(connection->socket, asio::buffer(m_fixedResponse.second), ignored);
                else if (m_received.find("\r\n\r\n") != std::string::npos)
                    reply(connection);
                if (connection->socket.is_open() && connection->isReading)
                    read(connection);
            });
    }

    void reply(const std::shared_ptr<Connection> &connection)
    {
        const auto script = std::exchange(m_script, {});
        SystemErrorCode ignored;
        if (!script.first.empty())
            asio::write(connection->socket, asio::buffer(script.first), ignored);
        const auto delay = std::exchange(m_endDelay, std::chrono::milliseconds(0));
        if (delay.count() > 0) {
            connection->isReading = false;
            const auto timer = std::make_shared<asio::steady_timer>(m_loop, delay);
            timer->async_wait([this, connection, end = script.second, timer](SystemErrorCode) {
                this->end(connection, end);
                if (connection->isReading)
                    read(connection);
            });
        } else {
            end(connection, script.second);
        }
        if (!m_unit.empty())
            writeNextUnit(connection,
                          std::make_shared<const std::string>(std::exchange(m_unit, {})));
    }

    void end(const std::shared_ptr<Connection> &connection, End end)
    {
        SystemErrorCode ignored;
        if (end == End::Crash || end == End::Exit)
            m_acceptor.close(ignored);
        if (end == End::Reset || end == End::Crash)
            connection->socket.set_option(asio::socket_base::linger(true, 0), ignored);
        if (end == End::Finish || end == End::FinishUnread) {
            connection->isReading = end == End::Finish;
            m_unread = connection;
            connection->socket.shutdown(Tcp::socket::shutdown_send, ignored);
        } else if (end != End::KeepOpen) {
            connection->socket.close(ignored);
        }
    }

    void writeNextUnit(const std::shared_ptr<Connection> &connection,
                       const std::shared_ptr<const std::string> &unit)
    {
        m_isRepeating = true;
        asio::async_write(connection->socket, asio::buffer(*unit),
                          [this, connection, unit](const SystemErrorCode &ec, std::size_t n) {
                              m_repeatedBytes += n;
                              if (ec) {
                                  m_isRepeating = false;
                                  return;
                              }
                              const auto timer
                                  = std::make_shared<asio::steady_timer>(m_loop, m_pause);
                              timer->async_wait([this, connection, unit, timer](SystemErrorCode) {
                                  writeNextUnit(connection, unit);
                              });
                          });
    }

    asio::io_context &m_loop;
    Tcp::acceptor m_acceptor;
    const int m_port;
    std::vector<std::weak_ptr<Connection>> m_open;
    std::shared_ptr<Connection> m_unread; // nothing else keeps it open
    std::pair<std::string, End> m_script;
    std::pair<std::string, std::string> m_fixedResponse; // begin of the request, response
    std::string m_unit;
    std::size_t m_repeatedBytes = 0;
    bool m_isRepeating = false;
    std::chrono::milliseconds m_pause{0};
    std::chrono::milliseconds m_endDelay{0};
    std::string m_received;
    int m_connections = 0;
};

} // namespace quetzalyoke

#endif
