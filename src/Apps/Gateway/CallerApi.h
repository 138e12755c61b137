#ifndef QUETZALYOKE_APPS_GATEWAY_CALLERAPI_H
#define QUETZALYOKE_APPS_GATEWAY_CALLERAPI_H

#include "Apps/Gateway/Authenticator.h"
#include "Apps/Gateway/GatewaySettings.h"
#include "Apps/Gateway/GatewayState.h"
#include "Apps/Gateway/IdempotencyStore.h"
#include "Apps/Gateway/RequestForwarder.h"
#include "Apps/Gateway/RequestParser.h"
#include "Ports/AccountLimits.h"

#include <httplib.h>

#include <atomic>
#include <optional>
#include <string>

namespace quetzalyoke {

/// \brief HTTP face towards callers: models, completions and plain services.
class CallerApi
{
public:
    CallerApi(const GatewaySettings &settings, const GatewayState &state, RequestForwarder &forward,
              AccountLimits &limits, IdempotencyStore &idempotency);

    void addRoutes(httplib::Server &server);
    /// Requests whose answer is not whole yet.
    int inFlight() const { return m_inFlight; }
    /// Refuses requests that come from now on; those in flight go on.
    void stopAccepting() { m_accepting = false; }

private:
    class InFlightGuard;
    using InFlightGuardPtr = std::shared_ptr<InFlightGuard>;
    using Handler
        = void (CallerApi::*)(const httplib::Request &, httplib::Response &, const Configuration &,
                              const AccountId &, const InFlightGuardPtr &);

    httplib::Server::Handler withAdmission(Handler handler);
    /// Account of the caller, empty on open routes, or why the request is refused.
    std::variant<AccountId, Refusal> admit(const httplib::Request &req,
                                           const Configuration *configuration) const;
    void listModels(const httplib::Request &req, httplib::Response &res,
                    const Configuration &configuration, const AccountId &account,
                    const InFlightGuardPtr &mark);
    void createCompletion(const httplib::Request &req, httplib::Response &res,
                          const Configuration &configuration, const AccountId &account,
                          const InFlightGuardPtr &mark);
    void handleServiceRequest(const httplib::Request &req, httplib::Response &res,
                              const Configuration &configuration, const AccountId &account,
                              const InFlightGuardPtr &mark);
    void admitAndRun(const RequestParser::Result &request, httplib::Response &res,
                     const InFlightGuardPtr &mark);
    void runAtMostOnce(const ParsedRequest &call, httplib::Response &res);
    void forward(const ParsedRequest &call, httplib::Response &res, const InFlightGuardPtr &mark);
    /// \brief An answer as a whole, with the tokens to charge for it.
    struct WholeResponse
    {
        StoredResponse response;
        Tokens tokens;
    };
    /// Waits for the whole answer; nothing where it broke off, which is written to \a res.
    static std::optional<WholeResponse>
    readWhole(ResponseStream &response, const ParsedRequest &call, httplib::Response &res);
    /// Charges \a whole and hands it over.
    void chargeAndWrite(const ParsedRequest &call, const WholeResponse &whole,
                        httplib::Response &res);

    GatewayState const &m_state;
    Authenticator m_authenticator;
    RequestParser m_parser;
    RequestForwarder &m_forwarder;
    AccountLimits &m_limits;
    IdempotencyStore &m_idempotency;
    std::atomic<int> m_inFlight{0};
    std::atomic<bool> m_accepting{true};
};

} // namespace quetzalyoke

#endif
