#include "Apps/Agent/AgentThriftHandler.h"

#include "Adapters/Process.h"
#include "Adapters/ProcessTimeline.h"

#include <algorithm>

namespace quetzalyoke {

namespace {

constexpr std::int64_t maxWaitMillis = 5000;
constexpr std::int64_t retryAfterRefusalMillis = 1000;

std::chrono::milliseconds clampWait(std::int64_t millis)
{
    return std::chrono::milliseconds(std::clamp<std::int64_t>(millis, 0, maxWaitMillis));
}

wire::Progress refusal(const std::string &attemptId, wire::ErrorCode::type error,
                       wire::RunState::type runState, const std::string &message)
{
    wire::Progress progress;
    progress.attemptId = attemptId;
    progress.finished = true;
    progress.error = error;
    progress.runState = runState;
    progress.errorMessage = message;
    progress.retryAfterMillis = retryAfterRefusalMillis;
    return progress;
}

const char *messageFor(wire::ErrorCode::type error)
{
    switch (error) {
    case wire::ErrorCode::Draining:
        return "the backend server is draining";
    case wire::ErrorCode::BackendDown:
        return "the backend server is down";
    case wire::ErrorCode::AgentRestarted:
        return "the backend server's agent has restarted";
    case wire::ErrorCode::UnknownAttempt:
        return "the attempt has ended and is no longer stored";
    case wire::ErrorCode::ModelNotReady:
        return "the model or adapter is not ready on this backend server";
    default:
        return "the backend server's queue is full; retry later";
    }
}

// An attempt with an id that was used before may have run; any other refused attempt never started.
wire::RunState::type runStateFor(wire::ErrorCode::type error)
{
    return error == wire::ErrorCode::UnknownAttempt ? wire::RunState::Unknown
                                                    : wire::RunState::NotRun;
}

class ThriftHandlerFactory : public wire::AgentIfFactory
{
public:
    ThriftHandlerFactory(AttemptTable &table, std::string secret)
        : m_table(table), m_secret(std::move(secret))
    { }

    wire::AgentIf *getHandler(const apache::thrift::TConnectionInfo &) override
    {
        return new AgentThriftHandler(m_table, m_secret);
    }
    void releaseHandler(wire::FleetMemberIf *handler) override { delete handler; }

private:
    AttemptTable &m_table;
    std::string m_secret;
};

} // namespace

AgentThriftHandler::AgentThriftHandler(AttemptTable &table, const std::string &secret)
    : m_table(table), m_authenticator(secret)
{ }

void AgentThriftHandler::challenge(std::string &nonce)
{
    nonce = m_authenticator.challenge();
}

bool AgentThriftHandler::authenticate(const std::string &proof)
{
    return m_authenticator.authenticate(proof);
}

void AgentThriftHandler::events(std::vector<wire::TimelineEvent> &events,
                                const std::string &requestId, std::int32_t limit)
{
    m_authenticator.requireAuthenticated();
    ProcessTimeline::events(events, requestId, limit);
}

void AgentThriftHandler::submit(wire::Progress &progress, const wire::Submission &submission,
                                std::int64_t waitMillis)
{
    m_authenticator.requireAuthenticated();
    ProcessTimeline::mergeTimestamp(submission.clock);
    const auto admission = m_table.submit(submission, Process::now());
    if (!admission.attempt) {
        progress = refusal(submission.attemptId, admission.refusal, runStateFor(admission.refusal),
                           messageFor(admission.refusal));
        progress.clock = ProcessTimeline::nextTimestamp();
        return;
    }
    progress = admission.attempt->fetch(0, clampWait(waitMillis));
    progress.clock = ProcessTimeline::nextTimestamp();
    progress.load = static_cast<std::int64_t>(m_table.queuedCount() + m_table.runningCount());
}

void AgentThriftHandler::fetch(wire::Progress &progress, const std::string &attemptId,
                               std::int64_t offset, std::int64_t waitMillis)
{
    m_authenticator.requireAuthenticated();
    const auto attempt = m_table.find(attemptId);
    if (!attempt) {
        progress = refusal(attemptId, wire::ErrorCode::UnknownAttempt, wire::RunState::Unknown,
                           "this agent does not know the attempt");
        return;
    }
    progress = attempt->fetch(offset, clampWait(waitMillis));
    progress.clock = ProcessTimeline::nextTimestamp();
    progress.load = static_cast<std::int64_t>(m_table.queuedCount() + m_table.runningCount());
}

wire::RunState::type AgentThriftHandler::cancel(const std::string &attemptId)
{
    m_authenticator.requireAuthenticated();
    return m_table.cancel(attemptId, Process::now());
}

std::shared_ptr<apache::thrift::TProcessorFactory>
makeAgentProcessorFactory(AttemptTable &table, const std::string &secret)
{
    return std::make_shared<wire::AgentProcessorFactory>(
        std::make_shared<ThriftHandlerFactory>(table, secret));
}

} // namespace quetzalyoke
