#ifndef QUETZALYOKE_ADAPTERS_THRIFTCLIENTPOOL_H
#define QUETZALYOKE_ADAPTERS_THRIFTCLIENTPOOL_H

#include "Adapters/Address.h"
#include "Adapters/FleetAuthenticator.h"
#include "Core/Error.h"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>
#include <thrift/transport/TSocket.h>

#include <chrono>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace quetzalyoke {

/// \brief A pool of authenticated connections to one other process, each used for one call at a
/// time.
///
/// \tparam Client the generated Thrift client of a service that extends FleetMember.
template<typename Client>
class ThriftClientPool
{
public:
    ThriftClientPool(Address address, std::string secret, std::chrono::milliseconds connectTimeout,
                     std::chrono::milliseconds callTimeout)
        : m_address(std::move(address)), m_secret(std::move(secret)),
          m_connectTimeout(connectTimeout), m_callTimeout(callTimeout)
    { }

    const Address &address() const { return m_address; }

    /// Runs \a call with a connected client and returns its result. An exception from \a call
    /// closes the connection. Throws Error (PeerUnavailable or NotAuthenticated) if no connection
    /// could be made; then no call was sent.
    template<typename Call>
    auto call(Call &&call)
    {
        std::unique_ptr<Client> client = acquireClient();
        if constexpr (std::is_void_v<decltype(call(*client))>) {
            call(*client);
            releaseClient(std::move(client));
        } else {
            auto result = call(*client);
            releaseClient(std::move(client));
            return result;
        }
    }

    /// Closes the idle connections, for example after a call on one of them has failed.
    void closeIdleConnections()
    {
        const std::lock_guard lock(m_mutex);
        m_idleClients.clear();
    }

private:
    std::unique_ptr<Client> acquireClient()
    {
        {
            const std::lock_guard lock(m_mutex);
            if (!m_idleClients.empty()) {
                auto client = std::move(m_idleClients.back());
                m_idleClients.pop_back();
                return client;
            }
        }
        return connect();
    }

    void releaseClient(std::unique_ptr<Client> client)
    {
        const std::lock_guard lock(m_mutex);
        m_idleClients.push_back(std::move(client));
    }

    std::unique_ptr<Client> connect()
    {
        using namespace apache::thrift;
        auto socket = std::make_shared<transport::TSocket>(m_address.host, m_address.port);
        socket->setConnTimeout(static_cast<int>(m_connectTimeout.count()));
        socket->setRecvTimeout(static_cast<int>(m_callTimeout.count()));
        socket->setSendTimeout(static_cast<int>(m_callTimeout.count()));
        auto framed = std::make_shared<transport::TFramedTransport>(socket);
        auto client
            = std::make_unique<Client>(std::make_shared<protocol::TCompactProtocol>(framed));
        bool isAuthenticated = false;
        try {
            framed->open();
            std::string nonce;
            client->challenge(nonce);
            isAuthenticated
                = client->authenticate(FleetAuthenticator::computeProof(m_secret, nonce));
        } catch (const TException &e) {
            throw Error(ErrorKind::PeerUnavailable,
                        "can't reach " + m_address.text() + " (" + e.what()
                            + "); check that the process is running");
        }
        if (!isAuthenticated) {
            throw Error(ErrorKind::NotAuthenticated,
                        m_address.text() + " refused the fleet's secret; check fleet_secret_file");
        }
        return client;
    }

    Address m_address;
    std::string m_secret;
    std::chrono::milliseconds m_connectTimeout;
    std::chrono::milliseconds m_callTimeout;
    std::mutex m_mutex; // guards the member below
    std::vector<std::unique_ptr<Client>> m_idleClients;
};

} // namespace quetzalyoke

#endif
