#ifndef QUETZALYOKE_ADAPTERS_ASYNC_READABLEWAIT_H
#define QUETZALYOKE_ADAPTERS_ASYNC_READABLEWAIT_H

#include "Adapters/Async/EventLoop.h"

#include <memory>

namespace quetzalyoke {

/// \brief Waits for a connection's socket to become readable; at most one wait is pending.
class ReadableWait
{
public:
    /// Calls \a handler once there is something to read, but not if the wait fails. \a owner holds
    /// this object and is kept alive until then.
    template<typename Owner, typename Handler>
    void start(Tcp::socket &socket, std::shared_ptr<Owner> owner, Handler handler)
    {
        if (m_isWaiting)
            return;
        m_isWaiting = true;
        socket.async_wait(Tcp::socket::wait_read,
                          [this, owner = std::move(owner), handler](const SystemErrorCode &ec) {
                              m_isWaiting = false;
                              if (!ec)
                                  handler();
                          });
    }

private:
    bool m_isWaiting = false;
};

} // namespace quetzalyoke

#endif
