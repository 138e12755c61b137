#ifndef QUETZALYOKE_APPS_GATEWAY_OPERATORAPI_H
#define QUETZALYOKE_APPS_GATEWAY_OPERATORAPI_H

#include "Adapters/HttpPlatformClient.h"
#include "Apps/Gateway/AgentRegistry.h"
#include "Apps/Gateway/GatewayState.h"
#include "Apps/Gateway/OperatorChanges.h"
#include "Apps/Gateway/StatePoller.h"
#include "Apps/Gateway/TimelineCollector.h"

#include <httplib.h>

#include <functional>
#include <string>

namespace quetzalyoke {

/// \brief The HTTP API for operators, protected by the operator credential.
class OperatorApi
{
public:
    OperatorApi(const GatewaySettings &settings, HttpPlatformClient &platform, GatewayState &state,
                StatePoller &statePoller, AgentRegistry &agentRegistry, ChangeGate &changeGate,
                const TimelineCollector &timeline);

    void addRoutes(httplib::Server &server);

private:
    using Handler = std::function<void(const httplib::Request &, httplib::Response &)>;

    /// Wraps \a handler: checks the credential first and turns exceptions into error responses.
    Handler withAuthentication(Handler handler);
    void showConfiguration(const httplib::Request &req, httplib::Response &res);
    void applyConfiguration(const httplib::Request &req, httplib::Response &res);
    void listKeys(const httplib::Request &req, httplib::Response &res);
    void grantKey(const httplib::Request &req, httplib::Response &res);
    void withdrawKey(const httplib::Request &req, httplib::Response &res);
    void showStatus(const httplib::Request &req, httplib::Response &res);
    void showTimeline(const httplib::Request &req, httplib::Response &res);

    const GatewaySettings &m_settings;
    GatewayState &m_state;
    StatePoller &m_statePoller;
    AgentRegistry &m_agentRegistry;
    OperatorChanges m_changes;
    const TimelineCollector &m_timeline;
};

} // namespace quetzalyoke

#endif
