#ifndef QUETZALYOKE_APPS_GATEWAY_CALLERAPI_H
#define QUETZALYOKE_APPS_GATEWAY_CALLERAPI_H

#include "Apps/Gateway/Authenticator.h"
#include "Apps/Gateway/GatewaySettings.h"
#include "Apps/Gateway/Relay.h"
#include "Apps/Gateway/SharedState.h"

#include <httplib.h>

#include <atomic>
#include <string>

namespace quetzalyoke {

/// \brief HTTP face towards callers: models, completions and plain services.
class CallerApi
{
public:
    CallerApi(const GatewaySettings &settings, const SharedState &state, Relay &relay);

    void addRoutes(httplib::Server &server);
    /// Requests whose answer is not whole yet.
    int inFlight() const { return m_inFlight; }

private:
    class InFlight;

    void listModels(const httplib::Request &req, httplib::Response &res);
    void complete(const httplib::Request &req, httplib::Response &res);
    void callService(const httplib::Request &req, httplib::Response &res);
    /// Account of the caller; nothing where the answer has been refused.
    std::optional<AccountId> admit(const httplib::Request &req, httplib::Response &res);
    Call makeCall(const httplib::Request &req, const AccountId &account) const;
    void run(const Call &call, httplib::Response &res);
    void stream(const std::shared_ptr<AnswerStream> &answer, httplib::Response &res);

    const GatewaySettings &m_settings;
    const SharedState &m_state;
    Authenticator m_authenticator;
    Relay &m_relay;
    std::atomic<int> m_inFlight{0};
};

/// Writes \a refusal as the error body and headers that callers know.
void writeRefusal(const Refusal &refusal, httplib::Response &res);

} // namespace quetzalyoke

#endif
