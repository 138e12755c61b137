#ifndef QUETZALYOKE_ADAPTERS_INTERNAL_LIMITEDSTREAM_H
#define QUETZALYOKE_ADAPTERS_INTERNAL_LIMITEDSTREAM_H

#include <httplib.h>

#include <array>
#include <chrono>

namespace quetzalyoke::internal {

/// \brief A caller's connection with bounds on what it may send and how long it may take.
///
/// One request may take at most \c requestTimeout to arrive and hold at most \c requestBytes,
/// headers included, so neither a slow sender nor a flood of headers holds a thread or memory.
class LimitedStream : public httplib::Stream
{
public:
    struct Limits
    {
        std::size_t requestBytes = 0;
        std::chrono::milliseconds requestTimeout{};
        std::chrono::milliseconds writeTimeout{};
    };

    LimitedStream(socket_t socket, const Limits &limits);

    /// Waits for the first byte of the next request; false where none comes.
    bool waitForRequest(std::chrono::milliseconds wait);

    /// Whether the request broke a limit; then nothing more can be read.
    bool hasExceededLimit() const { return m_limitExceeded; }

    bool is_readable() const override;
    bool is_writable() const override;
    ssize_t read(char *ptr, size_t size) override;
    ssize_t write(const char *ptr, size_t size) override;
    void get_remote_ip_and_port(std::string &ip, int &port) const override;
    void get_local_ip_and_port(std::string &ip, int &port) const override;
    socket_t socket() const override { return m_socket; }

private:
    static constexpr std::size_t bufferBytes = 4096;

    ssize_t receive(char *ptr, size_t size);

    const socket_t m_socket;
    const Limits m_limits;
    std::chrono::steady_clock::time_point m_requestDeadline;
    std::size_t m_receivedBytes = 0; // bytes of the current request
    bool m_limitExceeded = false;
    std::array<char, bufferBytes> m_buffer{};
    std::size_t m_bufferStart = 0;
    std::size_t m_bufferEnd = 0;
};

/// Whether the peer of \a socket has closed the connection.
bool isClosedByPeer(socket_t socket);

} // namespace quetzalyoke::internal

#endif
