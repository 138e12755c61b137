#ifndef QUETZALYOKE_ADAPTERS_ASYNC_PEERSOCKET_H
#define QUETZALYOKE_ADAPTERS_ASYNC_PEERSOCKET_H

#include "Adapters/Address.h"
#include "Adapters/Async/EventLoop.h"
#include "Wire/generated/peers_types.h"

#include <boost/asio/ip/udp.hpp>

#include <functional>

namespace quetzalyoke {

/// \brief Sends and receives peer messages, one per UDP datagram.
class PeerSocket
{
public:
    using ReceiveHook = std::function<void(wire::PeerNews &&, const Address &from)>;

    /// Throws Error (BadSettings) if \a address cannot be bound.
    PeerSocket(asio::io_context &loop, const Address &address, ReceiveHook onReceive);

    /// Returns \a message serialized for send().
    static std::string encode(const wire::PeerNews &message);
    void send(const std::string &bytes, const Address &to);

private:
    void receive();
    void onDatagram(std::size_t n);

    asio::ip::udp::socket m_socket;
    const ReceiveHook m_onReceive;
    asio::ip::udp::endpoint m_from;
};

} // namespace quetzalyoke

#endif
