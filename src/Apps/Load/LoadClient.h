#ifndef QUETZALYOKE_APPS_LOAD_LOADCLIENT_H
#define QUETZALYOKE_APPS_LOAD_LOADCLIENT_H

#include "Adapters/Address.h"
#include "Apps/Load/RequestOutcome.h"
#include "Apps/Load/Schedule.h"

#include <httplib.h>

#include <memory>
#include <string>
#include <vector>

namespace quetzalyoke {

/// \brief A caller with one connection, which moves to the next gateway if its own is gone.
class LoadClient
{
public:
    LoadClient(std::vector<Address> gateways, std::size_t firstGateway);

    /// Sends \a request to \a path with the account's \a key and waits for the end of the response.
    /// Latencies are measured from \a due, the request's intended start.
    RequestOutcome call(const PlannedRequest &request, const std::string &path,
                        const std::string &key, Instant due);

private:
    void connect();
    RequestOutcome sendOnce(const PlannedRequest &request, const std::string &path,
                            const std::string &key, Instant due);

    const std::vector<Address> m_gateways;
    std::size_t m_gateway;
    std::unique_ptr<httplib::Client> m_client;
    bool m_connectionRefused = false;
};

} // namespace quetzalyoke

#endif
