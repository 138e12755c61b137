#ifndef QUETZALYOKE_ADAPTERS_ASYNC_EVENTLOOP_H
#define QUETZALYOKE_ADAPTERS_ASYNC_EVENTLOOP_H

#include "Core/StrongTypes.h"

#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

namespace quetzalyoke {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using SystemErrorCode = boost::system::error_code;

/// Returns the time of the event loop's clock, which does not advance while the instance is
/// suspended.
inline Instant steadyNow()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

} // namespace quetzalyoke

#endif
