#ifndef QUETZALYOKE_ADAPTERS_INTERNAL_LIMITEDSTREAM_H
#define QUETZALYOKE_ADAPTERS_INTERNAL_LIMITEDSTREAM_H

#include <httplib.h>

#include <array>
#include <chrono>

namespace quetzalyoke::internal {

/// \brief A caller's connection with limits on the size of a request and the time it takes.
///
/// A request must arrive within \c requestTimeout and have at most \c requestBytes, headers
/// included, so that neither a slow sender nor a flood of headers can occupy a thread or memory.
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

    /// Waits up to \a wait for the first byte of the next request; returns false if none arrives.
    bool waitForRequest(std::chrono::milliseconds wait);

    /// Returns whether the request exceeded a limit; then nothing more can be read.
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

/// Returns whether the other end of \a socket has closed the connection.
bool isClosedByPeer(socket_t socket);

} // namespace quetzalyoke::internal

#endif
