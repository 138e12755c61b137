#include "Apps/Gateway/ResponseStream.h"

#include "Adapters/Metrics.h"
#include "Adapters/Process.h"
#include "Adapters/ProcessTimeline.h"

#include <thread>

namespace quetzalyoke {

namespace {

constexpr std::int64_t fetchWaitMillis = 250;
// How long an agent may be unreachable before its response is given up.
constexpr std::chrono::seconds reconnectLimit{5};
constexpr std::chrono::milliseconds reconnectPause{50};
constexpr std::chrono::milliseconds retryAfterLostServer{1000};
constexpr int statusBadGateway = 502;
constexpr int statusUnavailable = 503;
constexpr int statusTimeout = 504;

RunState fromWire(wire::RunState::type state)
{
    switch (state) {
    case wire::RunState::NotRun:
        return RunState::NotRun;
    case wire::RunState::Partial:
    case wire::RunState::Completed:
        return RunState::Partial;
    case wire::RunState::Unknown:
        break;
    }
    return RunState::Unknown;
}

const char *codeFor(wire::ErrorCode::type error)
{
    switch (error) {
    case wire::ErrorCode::DeadlinePassed:
        return "deadline_passed";
    case wire::ErrorCode::QueueFull:
        return "queue_full";
    case wire::ErrorCode::Draining:
        return "backend_leaving";
    case wire::ErrorCode::BackendCrashed:
        return "backend_crashed";
    case wire::ErrorCode::ModelNotReady:
        return "model_not_ready";
    case wire::ErrorCode::Cancelled:
        return "cancelled";
    default:
        return "backend_failed";
    }
}

} // namespace

Refusal refusalFrom(const wire::Progress &progress)
{
    Refusal refusal;
    const bool deadlinePassed = progress.error == wire::ErrorCode::DeadlinePassed;
    refusal.status = deadlinePassed ? statusTimeout : statusUnavailable;
    refusal.code = codeFor(progress.error);
    refusal.message = progress.errorMessage;
    refusal.runState = fromWire(progress.runState);
    refusal.retryAfter = std::chrono::milliseconds(progress.retryAfterMillis);
    return refusal;
}

ResponseStream::ResponseStream(AgentRegistry &agentRegistry, ChosenAgent agent,
                               const wire::Progress &firstProgress)
    : m_agentRegistry(agentRegistry), m_agent(std::move(agent)), m_progress(firstProgress),
      m_status(firstProgress.status), m_headers(firstProgress.headers)
{ }

ResponseStream::~ResponseStream()
{
    if (m_ended)
        return;
    try {
        m_agent.pool->call([this](wire::AgentClient &it) { it.cancel(m_progress.attemptId); });
    } catch (const std::exception &) {
        Metrics::incrementCounter("cancels_failed_total");
    }
}

ResponseStream::Result ResponseStream::read(std::string &data, Tokens &tokens)
{
    if (!m_hasUnreadProgress && !fetch())
        return m_ended ? Result::Broken : Result::NoData;
    m_hasUnreadProgress = false;
    return appendProgress(data, tokens);
}

// The agent keeps the response, so after a lost connection a new one continues at the same offset.
bool ResponseStream::fetch()
{
    const std::string attemptId = m_progress.attemptId;
    try {
        m_agent.pool->call([&](wire::AgentClient &it) {
            it.fetch(m_progress, attemptId, m_offset, fetchWaitMillis);
        });
        m_failing = false;
        ProcessTimeline::mergeTimestamp(m_progress.clock);
        if (m_progress.error == wire::ErrorCode::None)
            m_agentRegistry.updateReportedLoad(m_agent.instance, m_progress.load);
        return true;
    } catch (const std::exception &) {
        m_agent.pool->closeIdleConnections();
        m_progress.attemptId = attemptId;
    }
    const Instant now = Process::now();
    if (!m_failing)
        m_failingSince = now;
    m_failing = true;
    if (now - m_failingSince < reconnectLimit) {
        std::this_thread::sleep_for(reconnectPause);
        return false;
    }
    m_agentRegistry.suspect(m_agent.instance);
    m_ended = true;
    m_refusal
        = {statusBadGateway, "backend_lost", "the backend server was lost while it answered; retry",
           m_offset > 0 ? RunState::Partial : RunState::Unknown, retryAfterLostServer};
    return false;
}

ResponseStream::Result ResponseStream::appendProgress(std::string &data, Tokens &tokens)
{
    if (m_progress.offset == m_offset) {
        data += m_progress.data;
        m_offset += static_cast<std::int64_t>(m_progress.data.size());
        tokens += Tokens(m_progress.tokens - m_tokens);
        m_tokens = m_progress.tokens;
    }
    if (!m_progress.finished)
        return m_progress.data.empty() ? Result::NoData : Result::Data;
    m_ended = true;
    if (m_progress.error == wire::ErrorCode::None && m_progress.totalLength == m_offset)
        return Result::End;
    m_refusal = refusalFrom(m_progress);
    m_refusal.status = statusBadGateway;
    m_refusal.runState = RunState::Partial;
    return Result::Broken;
}

} // namespace quetzalyoke
