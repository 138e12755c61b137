#ifndef QUETZALYOKE_APPS_GATEWAY_REQUESTFORWARDER_H
#define QUETZALYOKE_APPS_GATEWAY_REQUESTFORWARDER_H

#include "Apps/Gateway/AgentRegistry.h"
#include "Apps/Gateway/ParsedRequest.h"
#include "Apps/Gateway/ResponseStream.h"
#include "Apps/Gateway/SharedCrashingRequestTracker.h"
#include "Core/Requests/RequestStateMachine.h"
#include "Core/Requests/RetryBudget.h"

#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <variant>

namespace quetzalyoke {

/// \brief Sends calls to agents and brings back their answers.
/// \sa RequestStateMachine
class RequestForwarder
{
public:
    RequestForwarder(const GatewaySettings &settings, AgentRegistry &fleet,
                     SharedCrashingRequestTracker &crashes);

    using Result = std::variant<std::unique_ptr<ResponseStream>, Refusal>;

    /// An attempt id that no other gateway and no earlier start of this one has used.
    AttemptId newAttemptId() const;
    /// An agent that can take \a call, or nothing.
    std::optional<ChosenAgent> chooseAgent(const ParsedRequest &call);

    /// Runs \a call until the answer's headers are known, or gives the reason why there is none.
    /// The first attempt gets \a firstId and goes to \a firstAgent where they are given.
    Result openResponseStream(const ParsedRequest &call,
                              const std::optional<AttemptId> &firstId = {},
                              const std::optional<ChosenAgent> &firstAgent = {});

private:
    class Run;

    bool takeRetry();

    const GatewaySettings &m_settings;
    AgentRegistry &m_agentRegistry;
    SharedCrashingRequestTracker &m_crashes;
    std::mutex m_mutex; // of the member below
    RetryBudget m_retryBudget;
};

} // namespace quetzalyoke

#endif
