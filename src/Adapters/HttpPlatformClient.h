#ifndef QUETZALYOKE_ADAPTERS_HTTPPLATFORMCLIENT_H
#define QUETZALYOKE_ADAPTERS_HTTPPLATFORMCLIENT_H

#include "Ports/TableStore.h"

#include <chrono>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace httplib {
class Client;
}

namespace quetzalyoke {

/// \brief Client of the platform's services, over HTTP with JSON bodies.
///
/// Thread-safe; each call uses a connection from a pool.
/// \sa TableStore, ObjectStore, InstanceList
class HttpPlatformClient : public TableStore, public ObjectStore, public InstanceList
{
public:
    /// \a address is host:port; \a timeout applies to connecting, reading and writing.
    HttpPlatformClient(std::string address, std::chrono::milliseconds timeout);
    ~HttpPlatformClient() override;

    std::optional<TableRow> read(const std::string &key) override;
    std::vector<TableRow> scan(const std::string &prefix, Version after) override;
    std::optional<Version> commit(const std::vector<ConditionalWrite> &writes) override;

    std::optional<std::string> get(const std::string &name) override;
    void put(const std::string &name, const std::string &body) override;

    std::vector<ListedInstance> instances() override;

private:
    class PooledClient;

    std::unique_ptr<httplib::Client> acquireClient();
    void releaseClient(std::unique_ptr<httplib::Client> client);

    std::string m_address;
    std::chrono::milliseconds m_timeout;
    std::mutex m_mutex; // guards the member below
    std::vector<std::unique_ptr<httplib::Client>> m_idleClients;
};

} // namespace quetzalyoke

#endif
