#ifndef QUETZALYOKE_ADAPTERS_INTERNAL_WATCHEDSERVER_H
#define QUETZALYOKE_ADAPTERS_INTERNAL_WATCHEDSERVER_H

#include "Adapters/internal/CallerStream.h"

#include <httplib.h>

namespace quetzalyoke::internal {

/// \brief A cpp-httplib server whose handlers can see whether their caller is still there.
class WatchedServer : public httplib::Server
{
public:
    explicit WatchedServer(const CallerStream::Limits &limits);

    /// Whether the caller of the request that this thread handles has gone away.
    static bool callerHasGone();

    /// Lets \a connections wait to be accepted. Call it once the server is bound.
    void setBacklog(int connections);

private:
    bool process_and_close_socket(socket_t socket) override;
    void serve(socket_t socket);

    const CallerStream::Limits m_limits;
};

} // namespace quetzalyoke::internal

#endif
