#ifndef QUETZALYOKE_APPS_GATEWAY_RELAY_H
#define QUETZALYOKE_APPS_GATEWAY_RELAY_H

#include "Apps/Gateway/AnswerStream.h"
#include "Apps/Gateway/Call.h"
#include "Apps/Gateway/CrashWatch.h"
#include "Apps/Gateway/Fleet.h"
#include "Core/Requests/RequestFlow.h"
#include "Core/Requests/RetryBudget.h"

#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <variant>

namespace quetzalyoke {

/// \brief Sends calls to agents and brings back their answers.
/// \sa RequestFlow
class Relay
{
public:
    Relay(const GatewaySettings &settings, Fleet &fleet, CrashWatch &crashes);

    using Result = std::variant<std::unique_ptr<AnswerStream>, Refusal>;

    /// An attempt id that no other gateway and no earlier start of this one has used.
    AttemptId newAttemptId() const;
    /// An agent that can take \a call, or nothing.
    std::optional<ChosenAgent> choose(const Call &call);

    /// Runs \a call until the answer's headers are known, or gives the reason why there is none.
    /// The first attempt gets \a firstId and goes to \a firstAgent where they are given.
    Result open(const Call &call, const std::optional<AttemptId> &firstId = {},
                const std::optional<ChosenAgent> &firstAgent = {});

private:
    class Run;

    bool takeRetry();

    const GatewaySettings &m_settings;
    Fleet &m_fleet;
    CrashWatch &m_crashes;
    std::mutex m_mutex; // of the member below
    RetryBudget m_retryBudget;
};

} // namespace quetzalyoke

#endif
