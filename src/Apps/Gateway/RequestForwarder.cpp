#include "Apps/Gateway/RequestForwarder.h"

#include "Adapters/Crypto.h"
#include "Adapters/HttpServer.h"
#include "Adapters/Metrics.h"
#include "Adapters/Process.h"
#include "Adapters/ProcessTimeline.h"
#include "Core/Error.h"

namespace quetzalyoke {

namespace {

constexpr std::int64_t fetchWaitMillis = 250;
constexpr int attemptIdBytes = 12;
constexpr double retriesPerRequest = 0.1;
constexpr double retryReserve = 20;
// Takes a retry only if a whole one is left; the reserve is this gateway's own.
constexpr double wholeRetry = 0.99;

RunState runStateFrom(wire::RunState::type state)
{
    return state == wire::RunState::NotRun ? RunState::NotRun : RunState::Unknown;
}

} // namespace

// One call of openResponseStream(): performs the steps that its RequestStateMachine requests.
class RequestForwarder::Run
{
public:
    Run(RequestForwarder &forwarder, const ParsedRequest &request,
        const std::optional<AttemptId> &firstId, const std::optional<ChosenAgent> &firstAgent)
        : m_forwarder(forwarder), m_request(request), m_nextId(firstId), m_nextAgent(firstAgent),
          m_stateMachine(request.isIdempotent, request.deadline, RequestStateMachine::Limits(),
                         [&forwarder] { return forwarder.consumeRetry(); })
    {
        m_routing.target = request.target;
        m_routing.adapter = request.adapter;
        m_routing.zone = forwarder.m_settings.zone;
        m_routing.promptPrefixHash = request.promptPrefixHash;
    }

    Result run()
    {
        RequestStateMachine::Step step = m_stateMachine.start();
        while (true) {
            switch (step) {
            case RequestStateMachine::Step::ChooseServer:
                step = chooseServer();
                break;
            case RequestStateMachine::Step::Submit:
                prepareSubmission();
                step = submit();
                break;
            case RequestStateMachine::Step::Resubmit:
                step = submit();
                break;
            case RequestStateMachine::Step::AwaitResponse:
                step = awaitResponse();
                break;
            case RequestStateMachine::Step::DeliverResponse:
                return std::make_unique<ResponseStream>(m_forwarder.m_agentRegistry, *m_agent,
                                                        m_progress);
            case RequestStateMachine::Step::Refuse:
                return m_stateMachine.refusal();
            }
        }
    }

private:
    RequestStateMachine::Step chooseServer()
    {
        if (m_agent)
            ProcessTimeline::record(TimelineEventKind::RequestRetried, m_request.id,
                                    "after=" + m_agent->instance.text());
        const auto verdict = m_forwarder.m_crashes.verdict(m_request.fingerprint);
        if (verdict == CrashingRequestTracker::Decision::Refuse)
            return refuseCrashingRequest();
        m_runAlone = verdict == CrashingRequestTracker::Decision::RunAlone;
        m_agent = m_nextAgent ? m_nextAgent : m_forwarder.m_agentRegistry.chooseAgent(m_routing);
        m_nextAgent.reset();
        if (!m_agent)
            return m_stateMachine.onNoServerAvailable();
        m_routing.excluded.insert(m_agent->instance);
        return m_stateMachine.onServerChosen();
    }

    RequestStateMachine::Step refuseCrashingRequest()
    {
        const Duration wait = m_forwarder.m_crashes.refusalTimeLeft(m_request.fingerprint);
        return m_stateMachine.onCrashingRequest(std::chrono::ceil<std::chrono::milliseconds>(wait));
    }

    void prepareSubmission()
    {
        const AttemptId id = m_nextId ? *m_nextId : m_forwarder.newAttemptId();
        m_nextId.reset();
        m_submission = wire::Submission();
        m_submission.requestId = m_request.id.text();
        m_submission.attemptId = id.text();
        m_submission.account = m_request.account.text();
        m_submission.target = m_request.target;
        m_submission.adapter = m_request.adapter;
        m_submission.method = m_request.method;
        m_submission.path = m_request.path;
        m_submission.headers = m_request.headers;
        m_submission.body = m_request.body;
        m_submission.idempotent = m_request.isIdempotent;
        m_submission.model = m_request.targetsModel;
        m_submission.fingerprint = m_request.fingerprint.text();
        m_submission.runAlone = m_runAlone;
        m_submission.agentIncarnation = m_agent->incarnation.count();
        m_submission.estimatedTokens
            = (m_request.estimate.prompt + m_request.estimate.responseLimit).count();
        ProcessTimeline::record(TimelineEventKind::RequestSubmitted, m_request.id,
                                "attempt=" + id.text() + " agent=" + m_agent->instance.text());
    }

    RequestStateMachine::Step submit()
    {
        const auto timeLeft = m_request.deadline - Process::now();
        if (timeLeft <= Duration::zero())
            return m_stateMachine.onDeadline(cancel());
        m_submission.deadlineMillis
            = std::chrono::duration_cast<std::chrono::milliseconds>(timeLeft).count();
        m_submission.clock = ProcessTimeline::nextTimestamp();
        bool sent = false;
        try {
            m_agent->pool->call([&](wire::AgentClient &it) {
                sent = true;
                it.submit(m_progress, m_submission, fetchWaitMillis);
            });
        } catch (const std::exception &e) {
            m_agent->pool->closeIdleConnections();
            if (!sent)
                m_forwarder.m_agentRegistry.suspect(m_agent->instance);
            return sent ? m_stateMachine.onConnectionLost(e.what())
                        : m_stateMachine.onConnectFailed(e.what());
        }
        return handleProgress();
    }

    RequestStateMachine::Step handleProgress()
    {
        ProcessTimeline::mergeTimestamp(m_progress.clock);
        if (m_progress.error == wire::ErrorCode::None)
            m_forwarder.m_agentRegistry.updateReportedLoad(m_agent->instance, m_progress.load);
        if (m_progress.headersKnown)
            return m_stateMachine.onResponseStarted();
        if (!m_progress.finished)
            return m_stateMachine.onAccepted(Process::now());
        if (m_progress.error == wire::ErrorCode::AgentRestarted)
            return m_stateMachine.onAgentRestarted();
        recordCrash();
        return m_stateMachine.onRefused(refusalFrom(m_progress));
    }

    // The agent reports a crash to all gateways; this one must know of it before the caller
    // retries.
    void recordCrash()
    {
        if (m_progress.incident.empty())
            return;
        wire::Suspicion suspicion;
        suspicion.fingerprint = m_request.fingerprint.text();
        suspicion.incidents = {m_progress.incident};
        m_forwarder.m_crashes.addSuspicions({suspicion}, m_agent->instance.text());
    }

    RequestStateMachine::Step awaitResponse()
    {
        if (Process::now() >= m_request.deadline)
            return m_stateMachine.onDeadline(cancel());
        // A non-idempotent request is run to its end, so that its outcome is known.
        if (m_request.isIdempotent && HttpServer::isCallerDisconnected())
            return m_stateMachine.onCallerDisconnected(cancel());
        try {
            m_agent->pool->call([&](wire::AgentClient &it) {
                it.fetch(m_progress, m_submission.attemptId, 0, fetchWaitMillis);
            });
        } catch (const std::exception &e) {
            m_agent->pool->closeIdleConnections();
            return m_stateMachine.onConnectionLost(e.what());
        }
        return handleProgress();
    }

    RunState cancel()
    {
        auto state = wire::RunState::Unknown;
        try {
            m_agent->pool->call(
                [&](wire::AgentClient &it) { state = it.cancel(m_submission.attemptId); });
        } catch (const std::exception &) {
            Metrics::incrementCounter("cancels_failed_total");
        }
        return runStateFrom(state);
    }

    RequestForwarder &m_forwarder;
    const ParsedRequest &m_request;
    std::optional<AttemptId> m_nextId;
    std::optional<ChosenAgent> m_nextAgent;
    RequestStateMachine m_stateMachine;
    RoutingRequest m_routing;
    std::optional<ChosenAgent> m_agent;
    bool m_runAlone = false;
    wire::Submission m_submission;
    wire::Progress m_progress;
};

RequestForwarder::RequestForwarder(const GatewaySettings &settings, AgentRegistry &agentRegistry,
                                   SharedCrashingRequestTracker &crashes)
    : m_settings(settings), m_agentRegistry(agentRegistry), m_crashes(crashes),
      m_retryBudget(retriesPerRequest, retryReserve, retryReserve)
{ }

AttemptId RequestForwarder::newAttemptId() const
{
    return AttemptId(m_settings.instance.text() + "-" + randomHex(attemptIdBytes));
}

std::optional<ChosenAgent> RequestForwarder::chooseAgent(const ParsedRequest &request)
{
    return m_agentRegistry.chooseAgent(
        {request.target, request.adapter, m_settings.zone, {}, request.promptPrefixHash});
}

RequestForwarder::Result
RequestForwarder::openResponseStream(const ParsedRequest &request,
                                     const std::optional<AttemptId> &firstId,
                                     const std::optional<ChosenAgent> &firstAgent)
{
    {
        const std::lock_guard lock(m_mutex);
        m_retryBudget.onRequest();
    }
    return Run(*this, request, firstId, firstAgent).run();
}

bool RequestForwarder::consumeRetry()
{
    const std::lock_guard lock(m_mutex);
    const bool consumed = m_retryBudget.tryConsumeRetry(wholeRetry);
    Metrics::incrementCounter(consumed ? "retries_total" : "retries_denied_total");
    return consumed;
}

} // namespace quetzalyoke
