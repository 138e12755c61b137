#include "Adapters/Async/PeerSocket.h"

#include "Adapters/Async/HandlerGuard.h"
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

// Largest number of datagrams read in one turn of the loop, so that a flood of them does not
// starve requests.
constexpr int maxDatagramsPerTurn = 16;

// Holds the largest possible datagram; only one is read at a time.
std::array<char, 65'536> datagramBuffer;

} // namespace

PeerSocket::PeerSocket(asio::io_context &loop, const Address &address, ReceiveHook onReceive)
    : m_socket(loop), m_onReceive(std::move(onReceive))
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

std::string PeerSocket::encode(const wire::PeerNews &message)
{
    const auto buffer = std::make_shared<TMemoryBuffer>();
    TCompactProtocol protocol(buffer);
    message.write(&protocol);
    return buffer->getBufferAsString();
}

void PeerSocket::send(const std::string &bytes, const Address &to)
{
    SystemErrorCode ec;
    const auto host = asio::ip::make_address(to.host, ec);
    if (ec)
        return;
    // A datagram that can't be sent is treated like a lost one: a later message replaces it.
    m_socket.send_to(asio::buffer(bytes), Udp::endpoint(host, static_cast<unsigned short>(to.port)),
                     0, ec);
}

void PeerSocket::receive()
{
    m_socket.async_wait(Udp::socket::wait_read, [this](const SystemErrorCode &ec) {
        if (ec)
            return;
        for (int i = 0; i < maxDatagramsPerTurn; ++i) {
            SystemErrorCode readEc;
            const std::size_t n
                = m_socket.receive_from(asio::buffer(datagramBuffer), m_from, 0, readEc);
            if (readEc)
                break;
            onDatagram(n);
        }
        receive();
    });
}

void PeerSocket::onDatagram(std::size_t n)
{
    wire::PeerNews message;
    const auto newBuffer = [n] {
        return std::make_shared<TMemoryBuffer>(
            reinterpret_cast<std::uint8_t *>(datagramBuffer.data()), static_cast<std::uint32_t>(n));
    };
    try {
        // Reading a list reserves memory for its stated length, which may be millions in a datagram
        // of a few bytes. Skipping it fails at the end of the datagram instead.
        TCompactProtocol(newBuffer()).skip(apache::thrift::protocol::T_STRUCT);
        TCompactProtocol protocol(newBuffer());
        message.read(&protocol);
    } catch (const std::exception &e) {
        LOG_EVERY_N(WARNING, 100) << "event=bad_datagram reason=\"" << e.what() << '"';
        return;
    }
    callGuarded("datagram", [&] {
        m_onReceive(std::move(message), {m_from.address().to_string(), m_from.port()});
    });
}

} // namespace quetzalyoke
