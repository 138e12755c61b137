#ifndef QUETZALYOKE_APPS_AGENT_BACKENDCLIENT_H
#define QUETZALYOKE_APPS_AGENT_BACKENDCLIENT_H

#include "Adapters/Address.h"
#include "Apps/Agent/Attempt.h"

#include <chrono>
#include <memory>

namespace httplib {
class Client;
}

namespace quetzalyoke {

/// \brief One connection to the backend server, used by one worker.
class BackendClient
{
public:
    BackendClient(const Address &backend, std::chrono::milliseconds timeout);
    ~BackendClient();

    /// Runs \a attempt to its end and fills in the answer.
    void run(Attempt &attempt);

private:
    Address m_backend;
    std::chrono::milliseconds m_timeout;
    std::unique_ptr<httplib::Client> m_client;
};

} // namespace quetzalyoke

#endif
