#include "Apps/Gateway/Relay.h"

#include "Adapters/Crypto.h"
#include "Adapters/Metrics.h"
#include "Adapters/Process.h"
#include "Core/Error.h"

namespace quetzalyoke {

namespace {

constexpr std::int64_t fetchWaitMillis = 250;
constexpr int attemptLimit = 3;
constexpr int fetchFailureLimit = 5;
constexpr int submitTryLimit = 3;
constexpr int attemptIdBytes = 12;
constexpr std::chrono::milliseconds retrySoon{1000};

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

Refusal refusalFrom(const wire::Progress &progress)
{
    Refusal refusal;
    refusal.status = progress.error == wire::ErrorCode::DeadlinePassed ? 504 : 503;
    refusal.code = progress.error == wire::ErrorCode::DeadlinePassed ? "deadline_passed"
                                                                     : "backend_unavailable";
    refusal.message = progress.errorMessage;
    refusal.runState = fromWire(progress.runState);
    refusal.retryAfter = std::chrono::milliseconds(progress.retryAfterMillis);
    return refusal;
}

} // namespace

AnswerStream::AnswerStream(Fleet &fleet, ChosenAgent agent, const wire::Progress &first)
    : m_fleet(fleet), m_agent(std::move(agent)), m_progress(first), m_status(m_progress.status),
      m_headers(m_progress.headers)
{
    m_fleet.adjustOwnLoad(m_agent.instance, 1);
}

AnswerStream::~AnswerStream()
{
    m_fleet.adjustOwnLoad(m_agent.instance, -1);
    if (m_ended)
        return;
    try {
        m_agent.pool->call([this](wire::AgentClient &it) { it.cancel(m_progress.attemptId); });
    } catch (const std::exception &) {
        Metrics::count("cancels_failed_total");
    }
}

AnswerStream::Result AnswerStream::read(std::string &data, Tokens &tokens)
{
    if (!m_fetched && !fetch())
        return m_ended ? Result::Broken : Result::Nothing;
    m_fetched = false;
    return take(data, tokens);
}

bool AnswerStream::fetch()
{
    const std::string attemptId = m_progress.attemptId;
    try {
        m_agent.pool->call([&](wire::AgentClient &it) {
            it.fetch(m_progress, attemptId, m_offset, fetchWaitMillis);
        });
        m_failures = 0;
        return true;
    } catch (const std::exception &) {
        // The agent keeps the answer, so a new connection goes on from the same offset.
        m_agent.pool->clear();
        m_progress.attemptId = attemptId;
        if (++m_failures < fetchFailureLimit)
            return false;
    }
    m_fleet.suspect(m_agent.instance);
    m_ended = true;
    m_refusal = {502, "backend_lost", "the backend server was lost while it answered; ask again",
                 m_offset > 0 ? RunState::Partial : RunState::Unknown, retrySoon};
    return false;
}

AnswerStream::Result AnswerStream::take(std::string &data, Tokens &tokens)
{
    data += m_progress.data;
    m_offset += static_cast<std::int64_t>(m_progress.data.size());
    tokens += Tokens(m_progress.tokens - m_tokens);
    m_tokens = m_progress.tokens;
    if (!m_progress.finished)
        return m_progress.data.empty() ? Result::Nothing : Result::Data;
    m_ended = true;
    if (m_progress.error == wire::ErrorCode::None && m_progress.totalLength == m_offset)
        return Result::End;
    m_refusal = refusalFrom(m_progress);
    m_refusal.runState = RunState::Partial;
    return Result::Broken;
}

Relay::Relay(const GatewaySettings &settings, Fleet &fleet) : m_settings(settings), m_fleet(fleet)
{ }

std::variant<std::unique_ptr<AnswerStream>, Refusal> Relay::open(const Call &call)
{
    RoutingRequest request{call.target, call.adapter, m_settings.zone, {}, call.prefix};
    Refusal refusal{503, "no_server", "no backend server can take this request now; ask again",
                    RunState::NotRun, retrySoon};
    for (int i = 0; i < attemptLimit; ++i) {
        const auto agent = m_fleet.choose(request);
        if (!agent)
            return refusal;
        Outcome outcome = attempt(call, *agent);
        if (outcome.stream)
            return std::move(outcome.stream);
        refusal = outcome.refusal;
        if (!outcome.tryAnother)
            return refusal;
        Metrics::count("retries_total");
        request.excluded.insert(agent->instance);
    }
    return refusal;
}

Relay::Outcome Relay::attempt(const Call &call, const ChosenAgent &agent)
{
    const wire::Submission submission = submissionFor(call);
    wire::Progress progress;
    bool sent = false;
    for (int tries = 0;; ++tries) {
        try {
            agent.pool->call([&](wire::AgentClient &it) {
                sent = true;
                it.submit(progress, submission, fetchWaitMillis);
            });
            break;
        } catch (const std::exception &e) {
            agent.pool->clear();
            // The agent accepts an attempt id once, so the same submission may be sent again.
            if (sent && tries + 1 < submitTryLimit)
                continue;
            m_fleet.suspect(agent.instance);
            const RunState state = sent ? RunState::Unknown : RunState::NotRun;
            Refusal refusal{503, "backend_lost", std::string(e.what()), state, retrySoon};
            return {nullptr, refusal, !sent || call.idempotent};
        }
    }
    while (!progress.headersKnown && !progress.finished && Process::now() < call.deadline) {
        try {
            agent.pool->call([&](wire::AgentClient &it) {
                it.fetch(progress, submission.attemptId, 0, fetchWaitMillis);
            });
        } catch (const std::exception &e) {
            m_fleet.suspect(agent.instance);
            Refusal refusal{502, "backend_lost", e.what(), RunState::Unknown, retrySoon};
            return {nullptr, refusal, call.idempotent};
        }
    }
    if (progress.headersKnown)
        return {std::make_unique<AnswerStream>(m_fleet, agent, progress), {}, false};
    if (progress.finished) {
        const Refusal refusal = refusalFrom(progress);
        return {nullptr, refusal, refusal.runState == RunState::NotRun || call.idempotent};
    }
    const RunState state = fromWire(progress.runState);
    return {nullptr, {504, "deadline_passed", "the deadline passed", state, retrySoon}, false};
}

wire::Submission Relay::submissionFor(const Call &call) const
{
    wire::Submission submission;
    submission.requestId = call.id.text();
    submission.attemptId = m_settings.instance.text() + "-" + randomHex(attemptIdBytes);
    submission.account = call.account.text();
    submission.target = call.target;
    submission.adapter = call.adapter;
    submission.method = call.method;
    submission.path = call.path;
    submission.headers = call.headers;
    submission.body = call.body;
    submission.idempotent = call.idempotent;
    submission.model = call.model;
    submission.estimatedTokens = call.estimatedTokens.count();
    const auto remaining = call.deadline - Process::now();
    submission.deadlineMillis
        = std::chrono::duration_cast<std::chrono::milliseconds>(remaining).count();
    return submission;
}

} // namespace quetzalyoke
