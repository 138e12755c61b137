#include "Core/Requests/RequestStateMachine.h"

#include <utility>

namespace quetzalyoke {

namespace {

constexpr std::chrono::milliseconds defaultRetryAfter{1000};
constexpr int statusServiceUnavailable = 503;
constexpr int statusGatewayTimeout = 504;
constexpr int statusUnprocessableContent = 422;
constexpr int statusClientClosedRequest = 499;

} // namespace

RequestStateMachine::RequestStateMachine(bool idempotent, Instant deadline, const Limits &limits,
                                         std::function<bool()> tryConsumeRetry)
    : m_idempotent(idempotent), m_deadline(deadline), m_limits(limits),
      m_tryConsumeRetry(std::move(tryConsumeRetry))
{ }

RequestStateMachine::Step RequestStateMachine::start()
{
    return Step::ChooseServer;
}

RequestStateMachine::Step RequestStateMachine::onServerChosen()
{
    ++m_serversTried;
    m_resubmissions = 0;
    m_submissionSent = false;
    return Step::Submit;
}

RequestStateMachine::Step RequestStateMachine::onNoServerAvailable()
{
    // The reason why an earlier server failed is more useful than the lack of another one.
    if (m_serversTried > 0)
        return refuse(m_refusal);
    return refuse({statusServiceUnavailable, "no_server",
                   "no backend server can take this request now; retry later", RunState::NotRun,
                   defaultRetryAfter});
}

RequestStateMachine::Step RequestStateMachine::onConnectFailed(const std::string &reason)
{
    const Refusal refusal{statusServiceUnavailable, "backend_unreachable", reason,
                          m_submissionSent ? RunState::Unknown : RunState::NotRun,
                          defaultRetryAfter};
    return retryOrRefuse(refusal);
}

RequestStateMachine::Step RequestStateMachine::onConnectionLost(const std::string &reason)
{
    m_submissionSent = true;
    if (m_resubmissions < m_limits.maxResubmissions) {
        ++m_resubmissions;
        return Step::Resubmit;
    }
    return retryOrRefuse(
        {statusServiceUnavailable, "backend_lost", reason, RunState::Unknown, defaultRetryAfter});
}

RequestStateMachine::Step RequestStateMachine::onAccepted(Instant now)
{
    m_submissionSent = true;
    return now < m_deadline ? Step::AwaitResponse : onDeadline(RunState::Unknown);
}

RequestStateMachine::Step RequestStateMachine::onRefused(const Refusal &refusal)
{
    return retryOrRefuse(refusal);
}

RequestStateMachine::Step RequestStateMachine::onAgentRestarted()
{
    const RunState state = m_submissionSent ? RunState::Unknown : RunState::NotRun;
    return retryOrRefuse({statusServiceUnavailable, "backend_restarted",
                          "the backend server's agent was restarted; retry the request", state,
                          defaultRetryAfter});
}

RequestStateMachine::Step RequestStateMachine::onResponseStarted()
{
    return Step::DeliverResponse;
}

RequestStateMachine::Step RequestStateMachine::onDeadline(RunState state)
{
    return refuse({statusGatewayTimeout, "deadline_passed",
                   "the deadline passed; retry with a longer deadline", state, defaultRetryAfter});
}

RequestStateMachine::Step RequestStateMachine::onCallerDisconnected(RunState state)
{
    return refuse({statusClientClosedRequest, "cancelled", "the caller disconnected", state, {}});
}

RequestStateMachine::Step
RequestStateMachine::onCrashingRequest(std::chrono::milliseconds refusalTimeLeft)
{
    return refuse({statusUnprocessableContent, "request_crashes_servers",
                   "backend servers crashed while running this request; change the request",
                   RunState::NotRun, refusalTimeLeft});
}

RequestStateMachine::Step RequestStateMachine::refuse(Refusal refusal)
{
    if (m_mayHaveRun && refusal.runState == RunState::NotRun)
        refusal.runState = RunState::Unknown;
    m_refusal = std::move(refusal);
    return Step::Refuse;
}

RequestStateMachine::Step RequestStateMachine::retryOrRefuse(const Refusal &refusal)
{
    const bool mayHaveRun = refusal.runState != RunState::NotRun;
    if (mayHaveRun && !m_idempotent)
        return refuse(refusal);
    if (m_serversTried >= m_limits.maxServers || !m_tryConsumeRetry())
        return refuse(refusal);
    m_mayHaveRun = m_mayHaveRun || mayHaveRun;
    m_refusal = refusal;
    return Step::ChooseServer;
}

} // namespace quetzalyoke
