#ifndef QUETZALYOKE_ADAPTERS_THRIFTSERVER_H
#define QUETZALYOKE_ADAPTERS_THRIFTSERVER_H

#include "Adapters/Address.h"

#include <thrift/TProcessor.h>

#include <memory>
#include <thread>

namespace apache::thrift {
namespace server {
class TThreadedServer;
}
namespace transport {
class TServerSocket;
}
} // namespace apache::thrift

namespace quetzalyoke {

/// \brief Serves a Thrift processor on its own address, with one thread per connection.
class ThriftServer
{
public:
    /// Starts to serve with at most \a maxConnections open connections; port 0 selects a free port.
    /// Throws Error (BadSettings).
    ThriftServer(const Address &address,
                 const std::shared_ptr<apache::thrift::TProcessorFactory> &factory,
                 int maxConnections);
    ~ThriftServer();
    ThriftServer(const ThriftServer &) = delete;
    ThriftServer &operator=(const ThriftServer &) = delete;

    int port() const { return m_port; }
    void stop();

private:
    std::shared_ptr<apache::thrift::transport::TServerSocket> m_socket;
    std::unique_ptr<apache::thrift::server::TThreadedServer> m_server;
    std::thread m_thread;
    int m_port = 0;
};

} // namespace quetzalyoke

#endif
