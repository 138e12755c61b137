#ifndef QUETZALYOKE_APPS_GATEWAY_OPERATORAPI_H
#define QUETZALYOKE_APPS_GATEWAY_OPERATORAPI_H

#include "Adapters/HttpPlatform.h"
#include "Apps/Gateway/Fleet.h"
#include "Apps/Gateway/OperatorChanges.h"
#include "Apps/Gateway/SharedState.h"
#include "Apps/Gateway/StateSync.h"
#include "Apps/Gateway/TimelineCollector.h"

#include <httplib.h>

#include <functional>
#include <string>

namespace quetzalyoke {

/// \brief HTTP face towards operators, behind a credential of its own.
class OperatorApi
{
public:
    OperatorApi(const GatewaySettings &settings, HttpPlatform &platform, SharedState &state,
                StateSync &sync, Fleet &fleet, ChangeGate &gate, const TimelineCollector &timeline);

    void addRoutes(httplib::Server &server);

private:
    using Handler = std::function<void(const httplib::Request &, httplib::Response &)>;

    /// Wraps \a handler in the check of the credential and the translation of errors.
    Handler guarded(Handler handler);
    void showConfiguration(const httplib::Request &req, httplib::Response &res);
    void applyConfiguration(const httplib::Request &req, httplib::Response &res);
    void listKeys(const httplib::Request &req, httplib::Response &res);
    void grantKey(const httplib::Request &req, httplib::Response &res);
    void withdrawKey(const httplib::Request &req, httplib::Response &res);
    void status(const httplib::Request &req, httplib::Response &res);
    void timeline(const httplib::Request &req, httplib::Response &res);

    const GatewaySettings &m_settings;
    SharedState &m_state;
    StateSync &m_sync;
    Fleet &m_fleet;
    OperatorChanges m_changes;
    const TimelineCollector &m_timeline;
};

} // namespace quetzalyoke

#endif
