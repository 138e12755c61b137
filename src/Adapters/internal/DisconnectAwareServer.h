#ifndef QUETZALYOKE_ADAPTERS_INTERNAL_DISCONNECTAWARESERVER_H
#define QUETZALYOKE_ADAPTERS_INTERNAL_DISCONNECTAWARESERVER_H

#include "Adapters/internal/LimitedStream.h"

#include <httplib.h>

namespace quetzalyoke::internal {

/// \brief A cpp-httplib server whose handlers can check whether their caller is still connected.
class DisconnectAwareServer : public httplib::Server
{
public:
    explicit DisconnectAwareServer(const LimitedStream::Limits &limits);

    /// Returns whether the caller whose request this thread handles has disconnected.
    static bool isCallerDisconnected();

    /// Sets how many connections may wait to be accepted. Call it after binding the server.
    void setBacklog(int connections);

private:
    bool process_and_close_socket(socket_t socket) override;
    void serveConnection(socket_t socket);

    const LimitedStream::Limits m_limits;
};

} // namespace quetzalyoke::internal

#endif
