#include "Adapters/Async/SocketOptions.h"

#include <array>
#include <netinet/tcp.h>
#include <string_view>

namespace quetzalyoke {

namespace {

// Enough to read a full socket buffer of a small instance in a few calls. The buffer is shared, so
// idle connections need none of their own.
constexpr std::size_t readBufferBytes = 16'384;

using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

} // namespace

void setSocketOptions(Tcp::socket &socket, std::chrono::milliseconds userTimeout)
{
    // These options only affect delays, so failing to set one is not an error.
    SystemErrorCode ignored;
    socket.set_option(Tcp::no_delay(true), ignored);
    socket.set_option(UserTimeout(static_cast<int>(userTimeout.count())), ignored);
    socket.non_blocking(true, ignored);
}

std::string_view readAvailable(Tcp::socket &socket, SystemErrorCode &ec)
{
    static std::array<char, readBufferBytes> buf;
    const std::size_t n = socket.read_some(asio::buffer(buf), ec);
    return {buf.data(), n};
}

} // namespace quetzalyoke
