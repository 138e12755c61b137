#include "Adapters/Async/HandlerGuard.h"

#include "Adapters/Metrics.h"
#include "Adapters/StructuredLog.h"

namespace quetzalyoke {

void recordHandlerException(const char *place, const std::exception &error)
{
    logNotable("handler_exception", {{"place", place}, {"reason", error.what()}});
    Metrics::incrementCounter("handler_exceptions", {{"place", place}});
}

void runGuarded(asio::io_context &loop)
{
    // The loop may be run again after an exception; handlers that were ready are still called.
    while (!callGuarded("loop", [&loop] { loop.run(); })) { }
}

} // namespace quetzalyoke
