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

RunState stateFrom(wire::RunState::type state)
{
    return state == wire::RunState::NotRun ? RunState::NotRun : RunState::Unknown;
}

} // namespace

// One call of Relay::open(): carries out the steps that its RequestStateMachine asks for.
class RequestForwarder::Run
{
public:
    Run(RequestForwarder &relay, const ParsedRequest &call, const std::optional<AttemptId> &firstId,
        const std::optional<ChosenAgent> &firstAgent)
        : m_relay(relay), m_call(call), m_nextId(firstId), m_nextAgent(firstAgent),
          m_flow(call.isIdempotent, call.deadline, RequestStateMachine::Limits(),
                 [&relay] { return relay.takeRetry(); })
    {
        m_routing.target = call.target;
        m_routing.adapter = call.adapter;
        m_routing.zone = relay.m_settings.zone;
        m_routing.promptPrefixHash = call.promptPrefixHash;
    }

    Result run()
    {
        RequestStateMachine::Step step = m_flow.start();
        while (true) {
            switch (step) {
            case RequestStateMachine::Step::ChooseServer:
                step = choose();
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
                return std::make_unique<ResponseStream>(m_relay.m_agentRegistry, *m_agent,
                                                        m_progress);
            case RequestStateMachine::Step::Refuse:
                return m_flow.refusal();
            }
        }
    }

private:
    RequestStateMachine::Step choose()
    {
        if (m_agent)
            ProcessTimeline::record(TimelineEventKind::RequestRetried, m_call.id,
                                    "after=" + m_agent->instance.text());
        const auto verdict = m_relay.m_crashes.verdict(m_call.fingerprint);
        if (verdict == CrashingRequestTracker::Decision::Refuse)
            return refuseCrashing();
        m_runAlone = verdict == CrashingRequestTracker::Decision::RunAlone;
        m_agent = m_nextAgent ? m_nextAgent : m_relay.m_agentRegistry.chooseAgent(m_routing);
        m_nextAgent.reset();
        if (!m_agent)
            return m_flow.onNoServerAvailable();
        m_routing.excluded.insert(m_agent->instance);
        return m_flow.onServerChosen();
    }

    RequestStateMachine::Step refuseCrashing()
    {
        const Duration wait = m_relay.m_crashes.refusalTimeLeft(m_call.fingerprint);
        return m_flow.onCrashingRequest(std::chrono::ceil<std::chrono::milliseconds>(wait));
    }

    void prepareSubmission()
    {
        const AttemptId id = m_nextId ? *m_nextId : m_relay.newAttemptId();
        m_nextId.reset();
        m_submission = wire::Submission();
        m_submission.requestId = m_call.id.text();
        m_submission.attemptId = id.text();
        m_submission.account = m_call.account.text();
        m_submission.target = m_call.target;
        m_submission.adapter = m_call.adapter;
        m_submission.method = m_call.method;
        m_submission.path = m_call.path;
        m_submission.headers = m_call.headers;
        m_submission.body = m_call.body;
        m_submission.idempotent = m_call.isIdempotent;
        m_submission.model = m_call.targetsModel;
        m_submission.fingerprint = m_call.fingerprint.text();
        m_submission.runAlone = m_runAlone;
        m_submission.agentIncarnation = m_agent->incarnation.count();
        m_submission.estimatedTokens
            = (m_call.estimate.prompt + m_call.estimate.responseLimit).count();
        ProcessTimeline::record(TimelineEventKind::RequestSubmitted, m_call.id,
                                "attempt=" + id.text() + " agent=" + m_agent->instance.text());
    }

    RequestStateMachine::Step submit()
    {
        const auto left = m_call.deadline - Process::now();
        if (left <= Duration::zero())
            return m_flow.onDeadline(cancel());
        m_submission.deadlineMillis
            = std::chrono::duration_cast<std::chrono::milliseconds>(left).count();
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
                m_relay.m_agentRegistry.suspect(m_agent->instance);
            return sent ? m_flow.onConnectionLost(e.what()) : m_flow.onConnectFailed(e.what());
        }
        return judgeProgress();
    }

    RequestStateMachine::Step judgeProgress()
    {
        ProcessTimeline::mergeTimestamp(m_progress.clock);
        if (m_progress.error == wire::ErrorCode::None)
            m_relay.m_agentRegistry.updateReportedLoad(m_agent->instance, m_progress.load);
        if (m_progress.headersKnown)
            return m_flow.onResponseStarted();
        if (!m_progress.finished)
            return m_flow.onAccepted(Process::now());
        if (m_progress.error == wire::ErrorCode::AgentRestarted)
            return m_flow.onAgentRestarted();
        noteCrash();
        return m_flow.onRefused(refusalFrom(m_progress));
    }

    // The agent tells all gateways of a crash; this one must know before the caller asks again.
    void noteCrash()
    {
        if (m_progress.incident.empty())
            return;
        wire::Suspicion suspicion;
        suspicion.fingerprint = m_call.fingerprint.text();
        suspicion.incidents = {m_progress.incident};
        m_relay.m_crashes.addSuspicions({suspicion}, m_agent->instance.text());
    }

    RequestStateMachine::Step awaitResponse()
    {
        if (Process::now() >= m_call.deadline)
            return m_flow.onDeadline(cancel());
        // A call that may not be repeated runs to its end, so that its outcome is known.
        if (m_call.isIdempotent && HttpServer::isCallerDisconnected())
            return m_flow.onCallerDisconnected(cancel());
        try {
            m_agent->pool->call([&](wire::AgentClient &it) {
                it.fetch(m_progress, m_submission.attemptId, 0, fetchWaitMillis);
            });
        } catch (const std::exception &e) {
            m_agent->pool->closeIdleConnections();
            return m_flow.onConnectionLost(e.what());
        }
        return judgeProgress();
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
        return stateFrom(state);
    }

    RequestForwarder &m_relay;
    const ParsedRequest &m_call;
    std::optional<AttemptId> m_nextId;
    std::optional<ChosenAgent> m_nextAgent;
    RequestStateMachine m_flow;
    RoutingRequest m_routing;
    std::optional<ChosenAgent> m_agent;
    bool m_runAlone = false;
    wire::Submission m_submission;
    wire::Progress m_progress;
};

RequestForwarder::RequestForwarder(const GatewaySettings &settings, AgentRegistry &fleet,
                                   SharedCrashingRequestTracker &crashes)
    : m_settings(settings), m_agentRegistry(fleet), m_crashes(crashes),
      m_retryBudget(retriesPerRequest, retryReserve)
{ }

AttemptId RequestForwarder::newAttemptId() const
{
    return AttemptId(m_settings.instance.text() + "-" + randomHex(attemptIdBytes));
}

std::optional<ChosenAgent> RequestForwarder::chooseAgent(const ParsedRequest &call)
{
    return m_agentRegistry.chooseAgent(
        {call.target, call.adapter, m_settings.zone, {}, call.promptPrefixHash});
}

RequestForwarder::Result
RequestForwarder::openResponseStream(const ParsedRequest &call,
                                     const std::optional<AttemptId> &firstId,
                                     const std::optional<ChosenAgent> &firstAgent)
{
    {
        const std::lock_guard lock(m_mutex);
        m_retryBudget.onRequest();
    }
    return Run(*this, call, firstId, firstAgent).run();
}

bool RequestForwarder::takeRetry()
{
    const std::lock_guard lock(m_mutex);
    const bool taken = m_retryBudget.tryConsumeRetry();
    Metrics::incrementCounter(taken ? "retries_total" : "retries_denied_total");
    return taken;
}

} // namespace quetzalyoke
