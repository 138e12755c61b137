#ifndef QUETZALYOKE_ADAPTERS_INTERNAL_DISCONNECTAWARESERVER_H
#define QUETZALYOKE_ADAPTERS_INTERNAL_DISCONNECTAWARESERVER_H

#include "Adapters/internal/LimitedStream.h"

#include <httplib.h>

namespace quetzalyoke::internal {

/// \brief A cpp-httplib server whose handlers can see whether their caller is still there.
class DisconnectAwareServer : public httplib::Server
{
public:
    explicit DisconnectAwareServer(const LimitedStream::Limits &limits);

    /// Whether the caller of the request that this thread handles has gone away.
    static bool isCallerDisconnected();

    /// Lets \a connections wait to be accepted. Call it once the server is bound.
    void setBacklog(int connections);

private:
    bool process_and_close_socket(socket_t socket) override;
    void serveConnection(socket_t socket);

    const LimitedStream::Limits m_limits;
};

} // namespace quetzalyoke::internal

#endif
