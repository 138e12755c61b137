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

/// \brief The HTTP API for callers: models, completions and plain services.
class CallerApi
{
public:
    CallerApi(const GatewaySettings &settings, const GatewayState &state, RequestForwarder &forward,
              AccountLimits &limits, IdempotencyStore &idempotency);

    void addRoutes(httplib::Server &server);
    /// Returns the number of requests whose response is not yet complete.
    int inFlight() const { return m_inFlight; }
    /// Refuses all further requests; those in flight continue.
    void stopAccepting() { m_accepting = false; }

private:
    class InFlightGuard;
    using InFlightGuardPtr = std::shared_ptr<InFlightGuard>;
    using Handler
        = void (CallerApi::*)(const httplib::Request &, httplib::Response &, const Configuration &,
                              const AccountId &, const InFlightGuardPtr &);

    httplib::Server::Handler withAdmission(Handler handler);
    /// Returns the caller's account, empty on open routes, or the reason why the request is
    /// refused.
    std::variant<AccountId, Refusal> admit(const httplib::Request &req,
                                           const Configuration *configuration) const;
    void listModels(const httplib::Request &req, httplib::Response &res,
                    const Configuration &configuration, const AccountId &account,
                    const InFlightGuardPtr &inFlightGuard);
    void createCompletion(const httplib::Request &req, httplib::Response &res,
                          const Configuration &configuration, const AccountId &account,
                          const InFlightGuardPtr &inFlightGuard);
    void handleServiceRequest(const httplib::Request &req, httplib::Response &res,
                              const Configuration &configuration, const AccountId &account,
                              const InFlightGuardPtr &inFlightGuard);
    void admitAndRun(const RequestParser::Result &parsed, httplib::Response &res,
                     const InFlightGuardPtr &inFlightGuard);
    void runAtMostOnce(const ParsedRequest &request, httplib::Response &res);
    void forward(const ParsedRequest &request, httplib::Response &res,
                 const InFlightGuardPtr &inFlightGuard);
    /// \brief A complete response with the tokens to charge for it.
    struct CompleteResponse
    {
        StoredResponse response;
        Tokens tokens;
    };
    /// Waits for the complete response. If it breaks off, writes the refusal to \a res and returns
    /// nothing.
    static std::optional<CompleteResponse> readCompleteResponse(ResponseStream &response,
                                                                const ParsedRequest &request,
                                                                httplib::Response &res);
    /// Charges the tokens of \a complete, then writes it to \a res.
    void chargeAndWrite(const ParsedRequest &request, const CompleteResponse &complete,
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
