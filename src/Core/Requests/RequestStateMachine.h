#ifndef QUETZALYOKE_CORE_REQUESTS_REQUESTSTATEMACHINE_H
#define QUETZALYOKE_CORE_REQUESTS_REQUESTSTATEMACHINE_H

#include "Core/Requests/Refusal.h"
#include "Core/StrongTypes.h"

#include <functional>

namespace quetzalyoke {

/// \brief The course of one request at a gateway until its answer begins or it is refused.
///
/// Each event method returns the next step. Two rules are kept here: a refusal says "not run"
/// only if no backend server can have seen the request, and a request that is not idempotent is
/// given to a second backend server only after the first is known not to have run it.
/// \sa RetryBudget
class RequestStateMachine
{
public:
    enum class Step {
        ChooseServer,
        Submit, ///< A new attempt, with a new attempt id.
        Resubmit, ///< The same attempt to the same agent, which accepts an attempt id once.
        AwaitResponse,
        DeliverResponse,
        Refuse, ///< refusal() is final.
    };

    struct Limits
    {
        int maxServers = 3; ///< Tried for one request.
        int maxResubmissions = 2; ///< Of one attempt.
    };

    /// \a takeRetry asks the retry budget.
    RequestStateMachine(bool idempotent, Instant deadline, const Limits &limits,
                        std::function<bool()> takeRetry);

    Step start();
    Step onServerChosen();
    Step onNoServerAvailable();
    /// No connection could be made, so nothing left this gateway.
    Step onConnectFailed(const std::string &reason);
    /// The connection failed after the submission may have left.
    Step onConnectionLost(const std::string &reason);
    /// The agent has the attempt.
    Step onAccepted(Instant now);
    /// The agent gave a final reason why there is no answer.
    Step onRefused(const Refusal &refusal);
    /// A resubmission met an agent that was restarted since the first submission.
    Step onAgentRestarted();
    Step onResponseStarted();
    /// The deadline passed; \a state is what the agent said on cancelling, or Unknown.
    Step onDeadline(RunState state);
    /// The caller went away; nobody reads the refusal.
    Step onCallerDisconnected(RunState state);
    /// The request crashes each backend server that runs it; \a wait says for how long it is
    /// refused.
    Step onCrashingRequest(std::chrono::milliseconds wait);

    const Refusal &refusal() const { return m_refusal; }

private:
    Step refuse(Refusal refusal);
    Step retryOrRefuse(const Refusal &refusal);

    const bool m_idempotent;
    const Instant m_deadline;
    const Limits m_limits;
    const std::function<bool()> m_tryConsumeRetry;
    int m_servers = 0;
    int m_resubmissions = 0;
    bool m_mayHaveRun = false; // some earlier attempt may have reached a backend server
    bool m_submissionSent = false; // of the current attempt
    Refusal m_refusal;
};

} // namespace quetzalyoke

#endif
