#ifndef QUETZALYOKE_APPS_GATEWAY_CALLERAPI_H
#define QUETZALYOKE_APPS_GATEWAY_CALLERAPI_H

#include "Apps/Gateway/Authenticator.h"
#include "Apps/Gateway/GatewaySettings.h"
#include "Apps/Gateway/IdempotencyStore.h"
#include "Apps/Gateway/Relay.h"
#include "Apps/Gateway/RequestReader.h"
#include "Apps/Gateway/SharedState.h"
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
    CallerApi(const GatewaySettings &settings, const SharedState &state, Relay &relay,
              AccountLimits &limits, IdempotencyStore &idempotency);

    void addRoutes(httplib::Server &server);
    /// Requests whose answer is not whole yet.
    int inFlight() const { return m_inFlight; }
    /// Refuses requests that come from now on; those in flight go on.
    void stopAccepting() { m_accepting = false; }

private:
    class InFlight;
    using InFlightMark = std::shared_ptr<InFlight>;
    using Handler
        = void (CallerApi::*)(const httplib::Request &, httplib::Response &, const Configuration &,
                              const AccountId &, const InFlightMark &);

    httplib::Server::Handler admitted(Handler handler);
    /// Account of the caller, empty on open routes, or why the request is refused.
    std::variant<AccountId, Refusal> admit(const httplib::Request &req,
                                           const Configuration *configuration) const;
    void listModels(const httplib::Request &req, httplib::Response &res,
                    const Configuration &configuration, const AccountId &account,
                    const InFlightMark &mark);
    void complete(const httplib::Request &req, httplib::Response &res,
                  const Configuration &configuration, const AccountId &account,
                  const InFlightMark &mark);
    void callService(const httplib::Request &req, httplib::Response &res,
                     const Configuration &configuration, const AccountId &account,
                     const InFlightMark &mark);
    void run(const RequestReader::Result &request, httplib::Response &res,
             const InFlightMark &mark);
    void runOnce(const Call &call, httplib::Response &res);
    void relay(const Call &call, httplib::Response &res, const InFlightMark &mark);
    /// \brief An answer as a whole, with the tokens to charge for it.
    struct WholeAnswer
    {
        StoredAnswer answer;
        Tokens tokens;
    };
    /// Waits for the whole answer; nothing where it broke off, which is written to \a res.
    static std::optional<WholeAnswer> readWhole(AnswerStream &answer, const Call &call,
                                                httplib::Response &res);
    /// Charges \a whole and hands it over.
    void handOver(const Call &call, const WholeAnswer &whole, httplib::Response &res);

    SharedState const &m_state;
    Authenticator m_authenticator;
    RequestReader m_reader;
    Relay &m_relay;
    AccountLimits &m_limits;
    IdempotencyStore &m_idempotency;
    std::atomic<int> m_inFlight{0};
    std::atomic<bool> m_accepting{true};
};

} // namespace quetzalyoke

#endif
