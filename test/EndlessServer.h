#ifndef QUETZALYOKE_TEST_ENDLESSSERVER_H
#define QUETZALYOKE_TEST_ENDLESSSERVER_H

#include "Adapters/Async/EventLoop.h"

#include <boost/asio/write.hpp>

#include <array>
#include <memory>
#include <string>

namespace quetzalyoke {

/// \brief A faulty backend server: responds to each request with a beginning, then with a unit
/// again and again until the gateway closes the connection.
class EndlessServer
{
public:
    explicit EndlessServer(asio::io_context &loop)
        : m_acceptor(loop, Tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
    {
        accept();
    }

    int port() const { return m_acceptor.local_endpoint().port(); }
    void setResponse(std::string begin, std::string unit)
    {
        m_begin = std::move(begin);
        m_unit = std::move(unit);
    }
    std::size_t requests() const { return m_requests; }

private:
    struct Connection
    {
        explicit Connection(Tcp::socket s) : socket(std::move(s)) { }
        Tcp::socket socket;
        std::array<char, 65536> buf{};
    };

    void accept()
    {
        m_acceptor.async_accept([this](const SystemErrorCode &ec, Tcp::socket socket) {
            if (ec)
                return;
            const auto connection = std::make_shared<Connection>(std::move(socket));
            connection->socket.async_read_some(
                asio::buffer(connection->buf),
                [this, connection](const SystemErrorCode &readEc, std::size_t) {
                    if (readEc)
                        return;
                    ++m_requests;
                    write(connection, m_begin);
                });
            accept();
        });
    }
    void write(const std::shared_ptr<Connection> &connection, const std::string &bytes)
    {
        asio::async_write(connection->socket, asio::buffer(bytes),
                          [this, connection](const SystemErrorCode &ec, std::size_t) {
                              if (!ec && !m_unit.empty())
                                  write(connection, m_unit);
                          });
    }

    Tcp::acceptor m_acceptor;
    std::string m_begin;
    std::string m_unit;
    std::size_t m_requests = 0;
};

} // namespace quetzalyoke

#endif
