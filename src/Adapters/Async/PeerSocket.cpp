#include "Adapters/Async/PeerSocket.h"

#include "Core/Error.h"

#include <glog/logging.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <array>

namespace quetzalyoke {

namespace {

using Udp = asio::ip::udp;
using apache::thrift::protocol::TCompactProtocol;
using apache::thrift::transport::TMemoryBuffer;

// Datagrams taken in one turn of the loop, so that a flood of them can't starve requests.
constexpr int datagramsPerTurn = 16;

// Largest payload of a datagram; one at a time is read.
std::array<char, 65'536> datagram;

} // namespace

PeerSocket::PeerSocket(asio::io_context &loop, const Address &address, ReceiveHook receiver)
    : m_socket(loop), m_onReceive(std::move(receiver))
{
    try {
        const Udp::endpoint endpoint(asio::ip::make_address(address.host),
                                     static_cast<unsigned short>(address.port));
        m_socket.open(endpoint.protocol());
        m_socket.bind(endpoint);
        m_socket.non_blocking(true);
    } catch (const boost::system::system_error &e) {
        throw Error(ErrorKind::BadSettings,
                    "can't bind " + address.text() + ": " + e.what()
                        + "; choose a port that is free");
    }
    receive();
}

std::string PeerSocket::encode(const wire::PeerNews &news)
{
    const auto buffer = std::make_shared<TMemoryBuffer>();
    TCompactProtocol protocol(buffer);
    news.write(&protocol);
    return buffer->getBufferAsString();
}

void PeerSocket::send(const std::string &bytes, const Address &to)
{
    SystemErrorCode ec;
    const auto host = asio::ip::make_address(to.host, ec);
    if (ec)
        return;
    // A datagram that can't be sent is like one that is lost: the next one makes up for it.
    m_socket.send_to(asio::buffer(bytes), Udp::endpoint(host, static_cast<unsigned short>(to.port)),
                     0, ec);
}

void PeerSocket::receive()
{
    m_socket.async_wait(Udp::socket::wait_read, [this](const SystemErrorCode &ec) {
        if (ec)
            return;
        for (int i = 0; i < datagramsPerTurn; ++i) {
            SystemErrorCode readEc;
            const std::size_t n = m_socket.receive_from(asio::buffer(datagram), m_from, 0, readEc);
            if (readEc)
                break;
            onDatagram(n);
        }
        receive();
    });
}

void PeerSocket::onDatagram(std::size_t n)
{
    wire::PeerNews news;
    try {
        const auto buffer = std::make_shared<TMemoryBuffer>(
            reinterpret_cast<std::uint8_t *>(datagram.data()), static_cast<std::uint32_t>(n));
        TCompactProtocol protocol(buffer);
        news.read(&protocol);
    } catch (const std::exception &e) {
        LOG_EVERY_N(WARNING, 100) << "event=bad_datagram reason=\"" << e.what() << '"';
        return;
    }
    m_onReceive(news, {m_from.address().to_string(), m_from.port()});
}

} // namespace quetzalyoke
