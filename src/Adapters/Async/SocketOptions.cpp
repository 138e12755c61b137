#include "Adapters/Async/SocketOptions.h"

#include <array>
#include <netinet/tcp.h>
#include <string_view>

namespace quetzalyoke {

namespace {

// A whole socket buffer of a small instance arrives in a few reads; idle connections hold none.
constexpr std::size_t readBytes = 16'384;

using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

} // namespace

void setSocketOptions(Tcp::socket &socket, std::chrono::milliseconds silence)
{
    // Options only change delays, so one that the system refuses is no error.
    SystemErrorCode ignored;
    socket.set_option(Tcp::no_delay(true), ignored);
    socket.set_option(UserTimeout(static_cast<int>(silence.count())), ignored);
    socket.non_blocking(true, ignored);
}

std::string_view readAvailable(Tcp::socket &socket, SystemErrorCode &ec)
{
    static std::array<char, readBytes> buf;
    const std::size_t n = socket.read_some(asio::buffer(buf), ec);
    return {buf.data(), n};
}

} // namespace quetzalyoke
