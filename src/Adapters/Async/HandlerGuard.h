#ifndef QUETZALYOKE_ADAPTERS_ASYNC_HANDLERGUARD_H
#define QUETZALYOKE_ADAPTERS_ASYNC_HANDLERGUARD_H

#include "Adapters/Async/EventLoop.h"

#include <exception>

namespace quetzalyoke {

/// Records, in the log and in the metric `handler_exceptions`, that a handler at \a place has
/// thrown \a error.
void recordHandlerException(const char *place, const std::exception &error);

/// Calls \a handler. Returns whether it returned; an exception that it throws is recorded and goes
/// no further. What the handler was to do remains undone, so the caller gives up what depends on
/// it, such as a connection.
template<typename Handler>
bool callGuarded(const char *place, Handler &&handler)
{
    try {
        handler();
        return true;
    } catch (const std::exception &e) {
        recordHandlerException(place, e);
    }
    return false;
}

/// Like \a loop.run(), but an exception that leaves a handler ends only this handler.
void runGuarded(asio::io_context &loop);

} // namespace quetzalyoke

#endif
