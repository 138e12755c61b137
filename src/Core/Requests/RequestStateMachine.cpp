#include "Core/Requests/RequestStateMachine.h"

#include <utility>

namespace quetzalyoke {

namespace {

constexpr std::chrono::milliseconds retrySoon{1000};
constexpr int statusUnavailable = 503;
constexpr int statusTimeout = 504;
constexpr int statusUnprocessable = 422;
constexpr int statusCallerGone = 499;

} // namespace

RequestStateMachine::RequestStateMachine(bool idempotent, Instant deadline, const Limits &limits,
                                         std::function<bool()> takeRetry)
    : m_idempotent(idempotent), m_deadline(deadline), m_limits(limits),
      m_tryConsumeRetry(std::move(takeRetry))
{ }

RequestStateMachine::Step RequestStateMachine::start()
{
    return Step::ChooseServer;
}

RequestStateMachine::Step RequestStateMachine::onServerChosen()
{
    ++m_servers;
    m_resubmissions = 0;
    m_submissionSent = false;
    return Step::Submit;
}

RequestStateMachine::Step RequestStateMachine::onNoServerAvailable()
{
    // A reason found on the way says more than the lack of a further server.
    if (m_servers > 0)
        return refuse(m_refusal);
    return refuse({statusUnavailable, "no_server",
                   "no backend server can take this request now; ask again", RunState::NotRun,
                   retrySoon});
}

RequestStateMachine::Step RequestStateMachine::onConnectFailed(const std::string &reason)
{
    const Refusal refusal{statusUnavailable, "backend_unreachable", reason,
                          m_submissionSent ? RunState::Unknown : RunState::NotRun, retrySoon};
    return retryOrRefuse(refusal);
}

RequestStateMachine::Step RequestStateMachine::onConnectionLost(const std::string &reason)
{
    m_submissionSent = true;
    if (m_resubmissions < m_limits.maxResubmissions) {
        ++m_resubmissions;
        return Step::Resubmit;
    }
    return retryOrRefuse({statusUnavailable, "backend_lost", reason, RunState::Unknown, retrySoon});
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
    return retryOrRefuse({statusUnavailable, "backend_restarted",
                          "the backend server's agent was restarted; ask again", state, retrySoon});
}

RequestStateMachine::Step RequestStateMachine::onResponseStarted()
{
    return Step::DeliverResponse;
}

RequestStateMachine::Step RequestStateMachine::onDeadline(RunState state)
{
    return refuse({statusTimeout, "deadline_passed",
                   "the deadline passed; ask again with a longer one", state, retrySoon});
}

RequestStateMachine::Step RequestStateMachine::onCallerDisconnected(RunState state)
{
    return refuse({statusCallerGone, "cancelled", "the caller went away", state, {}});
}

RequestStateMachine::Step RequestStateMachine::onCrashingRequest(std::chrono::milliseconds wait)
{
    return refuse({statusUnprocessable, "request_crashes_servers",
                   "backend servers crashed while they ran this very request; change it",
                   RunState::NotRun, wait});
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
    if (m_servers >= m_limits.maxServers || !m_tryConsumeRetry())
        return refuse(refusal);
    m_mayHaveRun = m_mayHaveRun || mayHaveRun;
    m_refusal = refusal;
    return Step::ChooseServer;
}

} // namespace quetzalyoke
