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

/// \brief Forwards requests to agents and returns their responses. Thread-safe.
/// \sa RequestStateMachine
class RequestForwarder
{
public:
    RequestForwarder(const GatewaySettings &settings, AgentRegistry &agentRegistry,
                     SharedCrashingRequestTracker &crashes);

    using Result = std::variant<std::unique_ptr<ResponseStream>, Refusal>;

    /// Returns an attempt id that no other gateway and no earlier run of this one has used.
    AttemptId newAttemptId() const;
    /// Returns an agent that can take \a request, or nothing.
    std::optional<ChosenAgent> chooseAgent(const ParsedRequest &request);

    /// Runs \a request until the response's headers are known, or returns the reason why there is
    /// no response. The first attempt uses \a firstId and \a firstAgent if they are given.
    Result openResponseStream(const ParsedRequest &request,
                              const std::optional<AttemptId> &firstId = {},
                              const std::optional<ChosenAgent> &firstAgent = {});

private:
    class Run;

    bool consumeRetry();

    const GatewaySettings &m_settings;
    AgentRegistry &m_agentRegistry;
    SharedCrashingRequestTracker &m_crashes;
    std::mutex m_mutex; // protects m_retryBudget
    RetryBudget m_retryBudget;
};

} // namespace quetzalyoke

#endif
