#ifndef QUETZALYOKE_ADAPTERS_ASYNC_SOCKETOPTIONS_H
#define QUETZALYOKE_ADAPTERS_ASYNC_SOCKETOPTIONS_H

#include "Adapters/Async/EventLoop.h"

namespace quetzalyoke {

/// Sends small writes at once and gives up on a peer that acknowledges nothing for \a silence.
void setSocketOptions(Tcp::socket &socket, std::chrono::milliseconds silence);

/// Reads what has arrived without blocking. \a ec is would_block where nothing has.
///
/// The text lies in a buffer that all connections of the loop share, valid until the next call.
std::string_view readAvailable(Tcp::socket &socket, SystemErrorCode &ec);

} // namespace quetzalyoke

#endif
