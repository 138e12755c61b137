#ifndef QUETZALYOKE_ADAPTERS_ASYNC_SOCKETOPTIONS_H
#define QUETZALYOKE_ADAPTERS_ASYNC_SOCKETOPTIONS_H

#include "Adapters/Async/EventLoop.h"

namespace quetzalyoke {

/// Makes \a socket non-blocking, disables Nagle's algorithm and has the system drop the connection
/// if the peer acknowledges nothing for \a userTimeout.
void setSocketOptions(Tcp::socket &socket, std::chrono::milliseconds userTimeout);

/// Reads what has arrived, without blocking. \a ec is would_block if nothing has arrived.
///
/// The result refers to a buffer that all connections of the loop share; it is valid until the
/// next call.
std::string_view readAvailable(Tcp::socket &socket, SystemErrorCode &ec);

} // namespace quetzalyoke

#endif
