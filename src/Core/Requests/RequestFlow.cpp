#include "Core/Requests/RequestFlow.h"

#include <utility>

namespace quetzalyoke {

namespace {

constexpr std::chrono::milliseconds retrySoon{1000};
constexpr int statusUnavailable = 503;
constexpr int statusTimeout = 504;
constexpr int statusUnprocessable = 422;
constexpr int statusCallerGone = 499;

} // namespace

RequestFlow::RequestFlow(bool idempotent, Instant deadline, const Limits &limits,
                         std::function<bool()> takeRetry)
    : m_idempotent(idempotent), m_deadline(deadline), m_limits(limits),
      m_takeRetry(std::move(takeRetry))
{ }

RequestFlow::Step RequestFlow::start()
{
    return Step::ChooseServer;
}

RequestFlow::Step RequestFlow::onServerChosen()
{
    ++m_servers;
    m_resubmissions = 0;
    m_submissionSent = false;
    return Step::Submit;
}

RequestFlow::Step RequestFlow::onNoServer()
{
    // A reason found on the way says more than the lack of a further server.
    if (m_servers > 0)
        return giveUp(m_refusal);
    return giveUp({statusUnavailable, "no_server",
                   "no backend server can take this request now; ask again", RunState::NotRun,
                   retrySoon});
}

RequestFlow::Step RequestFlow::onNeverSent(const std::string &reason)
{
    const Refusal refusal{statusUnavailable, "backend_unreachable", reason,
                          m_submissionSent ? RunState::Unknown : RunState::NotRun, retrySoon};
    return tryElsewhere(refusal);
}

RequestFlow::Step RequestFlow::onLinkLost(const std::string &reason)
{
    m_submissionSent = true;
    if (m_resubmissions < m_limits.resubmissions) {
        ++m_resubmissions;
        return Step::Resubmit;
    }
    return tryElsewhere({statusUnavailable, "backend_lost", reason, RunState::Unknown, retrySoon});
}

RequestFlow::Step RequestFlow::onAccepted(Instant now)
{
    m_submissionSent = true;
    return now < m_deadline ? Step::AwaitAnswer : onDeadline(RunState::Unknown);
}

RequestFlow::Step RequestFlow::onRefused(const Refusal &refusal)
{
    return tryElsewhere(refusal);
}

RequestFlow::Step RequestFlow::onAgentRestarted()
{
    const RunState state = m_submissionSent ? RunState::Unknown : RunState::NotRun;
    return tryElsewhere({statusUnavailable, "backend_restarted",
                         "the backend server's agent was restarted; ask again", state, retrySoon});
}

RequestFlow::Step RequestFlow::onAnswerBegan()
{
    return Step::Deliver;
}

RequestFlow::Step RequestFlow::onDeadline(RunState state)
{
    return giveUp({statusTimeout, "deadline_passed",
                   "the deadline passed; ask again with a longer one", state, retrySoon});
}

RequestFlow::Step RequestFlow::onCallerGone(RunState state)
{
    return giveUp({statusCallerGone, "cancelled", "the caller went away", state, {}});
}

RequestFlow::Step RequestFlow::onCrashesServers(std::chrono::milliseconds wait)
{
    return giveUp({statusUnprocessable, "request_crashes_servers",
                   "backend servers crashed while they ran this very request; change it",
                   RunState::NotRun, wait});
}

RequestFlow::Step RequestFlow::giveUp(Refusal refusal)
{
    if (m_mayHaveRun && refusal.runState == RunState::NotRun)
        refusal.runState = RunState::Unknown;
    m_refusal = std::move(refusal);
    return Step::Refuse;
}

RequestFlow::Step RequestFlow::tryElsewhere(const Refusal &refusal)
{
    const bool mayHaveRun = refusal.runState != RunState::NotRun;
    if (mayHaveRun && !m_idempotent)
        return giveUp(refusal);
    if (m_servers >= m_limits.servers || !m_takeRetry())
        return giveUp(refusal);
    m_mayHaveRun = m_mayHaveRun || mayHaveRun;
    m_refusal = refusal;
    return Step::ChooseServer;
}

} // namespace quetzalyoke
