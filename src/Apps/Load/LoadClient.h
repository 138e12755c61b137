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

/// \brief One caller with one connection, which is moved on when its gateway is gone.
class LoadClient
{
public:
    LoadClient(std::vector<Address> gateways, std::size_t first);

    /// Sends \a request, due at \a due, with the account's \a key, and waits for its end.
    RequestOutcome call(const PlannedRequest &request, const std::string &path,
                        const std::string &key, Instant due);

private:
    void connect();
    RequestOutcome tryOnce(const PlannedRequest &request, const std::string &path,
                           const std::string &key, Instant due);

    const std::vector<Address> m_gateways;
    std::size_t m_gateway;
    std::unique_ptr<httplib::Client> m_client;
    bool m_refusedConnection = false;
};

} // namespace quetzalyoke

#endif
