#include "Adapters/ThriftServer.h"

#include "Core/Error.h"

#include <thrift/concurrency/ThreadFactory.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/server/TThreadedServer.h>
#include <thrift/transport/TBufferTransports.h>
#include <thrift/transport/TServerSocket.h>

#include <condition_variable>
#include <mutex>

namespace quetzalyoke {

namespace {

using namespace apache::thrift;

// Lets the constructor wait until the server listens, so that the bound port can be read.
class ListenSignal : public server::TServerEventHandler
{
public:
    void preServe() override
    {
        const std::lock_guard lock(m_mutex);
        m_listening = true;
        m_condition.notify_all();
    }

    void fail()
    {
        const std::lock_guard lock(m_mutex);
        m_failed = true;
        m_condition.notify_all();
    }

    bool wait()
    {
        std::unique_lock lock(m_mutex);
        m_condition.wait(lock, [this] { return m_listening || m_failed; });
        return !m_failed;
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_condition;
    bool m_listening = false;
    bool m_failed = false;
};

} // namespace

ThriftServer::ThriftServer(const Address &address,
                           const std::shared_ptr<TProcessorFactory> &factory, int maxConnections)
    : m_socket(std::make_shared<transport::TServerSocket>(address.host, address.port))
{
    m_server = std::make_unique<server::TThreadedServer>(
        factory, m_socket, std::make_shared<transport::TFramedTransportFactory>(),
        std::make_shared<protocol::TCompactProtocolFactory>());
    m_server->setConcurrentClientLimit(maxConnections);
    auto signal = std::make_shared<ListenSignal>();
    m_server->setServerEventHandler(signal);
    m_thread = std::thread([this, signal] {
        try {
            m_server->serve();
        } catch (const std::exception &) {
            signal->fail();
        }
    });
    if (!signal->wait()) {
        m_thread.join();
        throw Error(ErrorKind::BadSettings,
                    "can't listen on " + address.text() + "; choose a free address");
    }
    m_port = address.port != 0 ? address.port : m_socket->getPort();
}

ThriftServer::~ThriftServer()
{
    stop();
}

void ThriftServer::stop()
{
    if (!m_thread.joinable())
        return;
    m_server->stop();
    m_thread.join();
}

} // namespace quetzalyoke
