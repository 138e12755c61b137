#ifndef QUETZALYOKE_CORE_REQUESTS_REQUESTSTATEMACHINE_H
#define QUETZALYOKE_CORE_REQUESTS_REQUESTSTATEMACHINE_H

#include "Core/Requests/Refusal.h"
#include "Core/StrongTypes.h"

#include <functional>

namespace quetzalyoke {

/// \brief The states of one request at a gateway until its response begins or it is refused.
///
/// Each event method returns the next step. This class ensures two rules: a refusal states "not
/// run" only if no backend server can have received the request, and a request that is not
/// idempotent is submitted to a second backend server only if the first is known not to have run
/// it. \sa RetryBudget
class RequestStateMachine
{
public:
    enum class Step {
        ChooseServer,
        Submit, ///< Submit a new attempt with a new attempt id.
        Resubmit, ///< Submit the same attempt to the same agent, which accepts an attempt id once.
        AwaitResponse,
        DeliverResponse,
        Refuse, ///< Send refusal() to the caller.
    };

    struct Limits
    {
        int maxServers = 3; ///< Backend servers tried for one request.
        int maxResubmissions = 2; ///< Resubmissions of one attempt.
    };

    /// \a tryConsumeRetry takes a retry from the retry budget and returns false if none is left.
    RequestStateMachine(bool idempotent, Instant deadline, const Limits &limits,
                        std::function<bool()> tryConsumeRetry);

    Step start();
    Step onServerChosen();
    Step onNoServerAvailable();
    /// No connection was established, so nothing was sent.
    Step onConnectFailed(const std::string &reason);
    /// The connection was lost after the submission may have been sent.
    Step onConnectionLost(const std::string &reason);
    /// The agent accepted the attempt.
    Step onAccepted(Instant now);
    /// The agent refused the attempt or reported that it failed.
    Step onRefused(const Refusal &refusal);
    /// A resubmission reached an agent that had been restarted since the first submission.
    Step onAgentRestarted();
    Step onResponseStarted();
    /// The deadline passed; \a state is the agent's response to the cancellation, or Unknown.
    Step onDeadline(RunState state);
    /// The caller disconnected; the refusal can't be delivered.
    Step onCallerDisconnected(RunState state);
    /// The request crashes the backend servers that run it; it stays refused for
    /// \a refusalTimeLeft.
    Step onCrashingRequest(std::chrono::milliseconds refusalTimeLeft);

    /// Returns the refusal to send; valid after Step::Refuse.
    const Refusal &refusal() const { return m_refusal; }

private:
    Step refuse(Refusal refusal);
    Step retryOrRefuse(const Refusal &refusal);

    const bool m_idempotent;
    const Instant m_deadline;
    const Limits m_limits;
    const std::function<bool()> m_tryConsumeRetry;
    int m_serversTried = 0;
    int m_resubmissions = 0;
    bool m_mayHaveRun = false; // an earlier attempt may have reached a backend server
    bool m_submissionSent = false; // the current attempt may have reached the agent
    Refusal m_refusal;
};

} // namespace quetzalyoke

#endif
