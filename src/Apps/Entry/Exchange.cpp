#include "Apps/Entry/Exchange.h"

#include "Adapters/DecisionLog.h"
#include "Adapters/Metrics.h"

namespace quetzalyoke {

namespace {

// Of an answer that is not a stream; the caller gets it only once it is whole.
constexpr std::size_t answerBytes = 8'388'608;

// Unsent bytes to a slow caller from which on its server's answer is no longer read.
constexpr std::size_t slowCallerBytes = 262'144;

// A server that has not begun to answer within this many objectives or expected times is given up
// on if the request may be repeated, and held to be silent in any case.
constexpr double patienceObjectives = 1.5;
constexpr double patienceExpected = 4;
constexpr Duration shortestPatience = std::chrono::milliseconds(250);

// Given to a repeat so that it can still be in time.
constexpr Duration leastTimeToRepeat = std::chrono::milliseconds(30);

// Of an answer, in a batch that is partly filled; answers mostly stay below their stated length.
constexpr Duration timePerToken = std::chrono::milliseconds(6);

// Before a server that has turned a request down is asked again.
constexpr Duration turnDownPause = std::chrono::milliseconds(20);

// Of the servers' 0 to 9.
constexpr int lowestPriority = 9;

constexpr int httpOk = 200;
constexpr int httpMultipleChoices = 300;

const char *kindText(CallKind kind)
{
    switch (kind) {
    case CallKind::Idempotent:
        return "idempotent";
    case CallKind::NonIdempotent:
        return "non_idempotent";
    case CallKind::Stream:
        return "stream";
    }
    return "unknown";
}

} // namespace

Exchange::Exchange(EntryState &state, CallerSession::Pointer session, CallerRequest &&request)
    : m_state(state), m_session(std::move(session)), m_request(std::move(request)),
      m_timer(state.loop)
{ }

void Exchange::start()
{
    m_session->setLeaveHook([weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->onCallerLeft();
    });
    if (const auto rejection = RequestAdmission(m_state, m_request).admit(m_context)) {
        refuse(rejection->status, rejection->reason, rejection->retryAfter);
        return;
    }
    setTimer();
    place();
}

// Whether the request has stopped waiting for a server.
bool Exchange::place()
{
    const Instant now = loopNow();
    const PlacementRequest request{m_context.service, &m_context.call, &m_context.chain,
                                   blockedServers(now)};
    AdmissionInput input;
    input.route = m_context.route;
    input.service = m_context.service;
    input.call = &m_context.call;
    input.choice = m_state.chooser.choose(request, m_state.book, now);
    input.waited = age();
    input.left = left(now);
    if (input.choice.outcome == PlacementChoice::Outcome::NoModel
        || input.choice.outcome == PlacementChoice::Outcome::NoAdapter)
        m_state.noteNeed(m_context.call.model, m_context.call.adapter);
    if (!input.choice.relief.isEmpty())
        m_state.noteRelief(input.choice.relief, m_context.call.model, m_context.call.adapter);
    const AdmissionDecision decision = m_state.admission.decide(input, m_state.random());
    switch (decision.step) {
    case AdmissionDecision::Step::Send:
        send(input.choice);
        return true;
    case AdmissionDecision::Step::Wait:
        waitInLine();
        return false;
    case AdmissionDecision::Step::Refuse:
        refuse(503, decision.reason, decision.retryAfter);
        return true;
    }
    return true;
}

void Exchange::waitInLine()
{
    if (m_isWaiting)
        return;
    m_isWaiting = true;
    m_state.waiting.add(m_context.priority, m_request.arrivedAt, shared_from_this());
    logRoutine("waiting",
               {{"id", m_context.call.id},
                {"model", m_context.call.model},
                {"adapter", m_context.call.adapter},
                {"age_ms", age()}});
}

bool Exchange::retry()
{
    if (m_isOver || !m_isWaiting)
        return true;
    if (!place())
        return false;
    m_isWaiting = false;
    return true;
}

std::string Exchange::backendRequest(const ServerState &server, Duration timeLeft) const
{
    BackendCall call;
    call.server = server.listed.id;
    if (m_context.account)
        call.account = m_context.account->name;
    call.timeLeft = std::chrono::duration_cast<Milliseconds>(timeLeft);
    if (m_context.service->engine)
        call.priority = std::min(m_context.priority, lowestPriority);
    if (m_isStreaming)
        call.resumeAfter = m_events.lastId();
    std::string text = m_request.method + ' ' + m_request.target + " HTTP/1.1\r\n";
    m_state.dialect.writeBackendFields(m_request.fields, call, text);
    if (!m_request.body.empty() || m_request.fields.count("Content-Length") > 0
        || m_request.fields.count("Transfer-Encoding") > 0)
        text += "Content-Length: " + std::to_string(m_request.body.size()) + "\r\n";
    text += "\r\n";
    text += m_request.body;
    return text;
}

void Exchange::send(const PlacementChoice &choice)
{
    ServerState *server = m_state.book.find(choice.server);
    const Instant now = loopNow();
    m_attempt = std::make_unique<BackendAttempt>();
    m_attempt->server = choice.server;
    m_attempt->incarnation = server->listed.incarnation;
    m_attempt->address = server->listed.address;
    m_attempt->sentAt = now;
    m_attempt->expected = choice.expectedFirst;
    m_attempt->work = {1, choice.prefillTokens, choice.memoryTokens};
    server->own.running += 1;
    server->own.prefillTokens += choice.prefillTokens;
    server->own.memoryTokens += choice.memoryTokens;
    m_blocked[choice.server] = Instant::max();
    m_patienceOver = false;

    const PlacementRequest request{m_context.service, &m_context.call, &m_context.chain, {}};
    m_state.chooser.noteSent(choice.server, request);
    if (!m_context.call.adapter.isEmpty())
        m_state.noteUse(choice.server, m_context.call.model, m_context.call.adapter,
                        expectedRun(choice.expectedFirst, now));
    logRoutine("sent",
               {{"id", m_context.call.id},
                {"route", m_context.route->name},
                {"server", choice.server},
                {"age_ms", age()},
                {"expected_ms", choice.expectedFirst},
                {"prefill", choice.prefillTokens},
                {"running", server->total().running},
                {"config", m_context.config->version},
                {"attempt", m_arrivals + 1}});

    ExchangeHooks hooks;
    hooks.maySend = [self = shared_from_this()] { return self->mayStillSend(); };
    hooks.onHead = [self = shared_from_this()](int status, const auto &fields) {
        return self->onHead(status, fields);
    };
    hooks.onBody = [self = shared_from_this()](std::string_view data) { self->onBody(data); };
    hooks.onEnd = [self = shared_from_this()](ExchangeEnd end) { self->onEnd(end); };
    m_attempt->connection = m_state.pool.acquire(server->listed.address);
    setTimer();
    m_attempt->connection->send(backendRequest(*server, left(now)), m_request.method == "HEAD",
                                std::move(hooks));
}

// A server may have left, or asked for a pause, while the connection to it was made.
bool Exchange::mayStillSend() const
{
    const ServerState *server = m_attempt ? m_state.book.find(m_attempt->server) : nullptr;
    return server && server->listed.incarnation == m_attempt->incarnation
        && !server->listed.isLeaving && !server->isPaused(loopNow());
}

// The stated length of an answer may be anything; nobody waits longer than the deadline.
Duration Exchange::expectedRun(Duration expectedFirst, Instant now) const
{
    const Duration longest = left(now);
    const std::int64_t tokens
        = std::min(m_context.call.outputTokens.count(), longest / timePerToken);
    return std::min(longest, expectedFirst + timePerToken * tokens);
}

ExchangeHooks::Head Exchange::onHead(int status, const boost::beast::http::fields &fields)
{
    if (!m_attempt)
        return ExchangeHooks::Head::Skip;
    const BackendVerdict verdict = m_state.dialect.judge(status, fields, m_context.call.id);
    if (verdict.isForeign) {
        Metrics::count("foreign_answers");
        return ExchangeHooks::Head::Skip;
    }
    m_attempt->status = status;
    m_attempt->verdict = verdict;
    m_state.takeServerSignal(m_attempt->server, m_attempt->incarnation, verdict);
    noteLoad(verdict);
    const bool isSuccess = status >= httpOk && status < httpMultipleChoices;
    if (isSuccess && (!verdict.isSigned || verdict.isEncoded)) {
        logNotable("bad_answer",
                   {{"id", m_context.call.id},
                    {"server", m_attempt->server},
                    {"status", status},
                    {"signed", verdict.isSigned ? 1 : 0}});
        m_attempt->connection->close();
        onBroken(ExchangeEnd::Malformed);
        return ExchangeHooks::Head::Skip;
    }
    m_state.dialect.writeCallerFields(fields, m_attempt->fields);
    m_attempt->isForwarding = isSuccess && m_context.route->kind == CallKind::Stream;
    return ExchangeHooks::Head::Take;
}

void Exchange::noteLoad(const BackendVerdict &verdict)
{
    ServerState *server = m_state.book.find(m_attempt->server);
    if (verdict.load && server && server->listed.incarnation == m_attempt->incarnation)
        server->load.note(verdict.load->running, verdict.load->waiting, loopNow());
}

void Exchange::onBody(std::string_view data)
{
    if (!m_attempt)
        return;
    onFirstByte();
    if (m_attempt->isForwarding) {
        forward(data);
        return;
    }
    if (m_attempt->body.size() + data.size() > answerBytes) {
        m_attempt->connection->close();
        onBroken(ExchangeEnd::Malformed);
        return;
    }
    m_attempt->body.append(data);
}

void Exchange::onFirstByte()
{
    if (m_attempt->firstByteSeen)
        return;
    m_attempt->firstByteSeen = true;
    ServerState *server = m_state.book.find(m_attempt->server);
    if (!server)
        return;
    server->own.prefillTokens -= m_attempt->work.prefillTokens;
    m_attempt->work.prefillTokens = 0;
    const Duration took = loopNow() - m_attempt->sentAt;
    Metrics::observe("first_byte_seconds", inSeconds(took));
    if (m_attempt->status >= httpMultipleChoices || m_attempt->expected.count() <= 0)
        return;
    server->health.notePace(static_cast<double>(took.count())
                            / static_cast<double>(m_attempt->expected.count())
                            * server->health.slowness());
}

// Whole events only, so that another server can go on where this one broke off.
void Exchange::forward(std::string_view data)
{
    const std::string events = m_events.take(data);
    if (m_events.isOverlong()) {
        m_attempt->connection->close();
        onBroken(ExchangeEnd::Malformed);
        return;
    }
    if (events.empty())
        return;
    if (!m_isStreaming) {
        m_isStreaming = true;
        m_session->beginStream(m_attempt->status, m_attempt->fields);
    }
    m_session->writeStream(events);
    if (m_session->unsentBytes() <= slowCallerBytes || !m_attempt)
        return;
    m_attempt->connection->pauseReading();
    m_session->setDrainHook([weak = weak_from_this()] {
        const auto self = weak.lock();
        if (self && self->m_attempt)
            self->m_attempt->connection->resumeReading();
    });
}

void Exchange::onEnd(ExchangeEnd end)
{
    if (!m_attempt)
        return;
    if (end != ExchangeEnd::NotSent)
        ++m_arrivals;
    if (end != ExchangeEnd::Complete) {
        onBroken(end);
        return;
    }
    if (m_attempt->verdict.notRun) {
        onNotRun();
        return;
    }
    ++m_runs;
    onFirstByte();
    onAnswered();
}

std::set<ServerName> Exchange::blockedServers(Instant now) const
{
    std::set<ServerName> blocked;
    for (const auto &[server, until] : m_blocked) {
        if (now < until)
            blocked.insert(server);
    }
    return blocked;
}

void Exchange::onNotRun()
{
    const int status = m_attempt->status;
    logRoutine("turned_down",
               {{"id", m_context.call.id},
                {"server", m_attempt->server},
                {"status", status},
                {"age_ms", age()}});
    Metrics::count("turned_down", {{"status", std::to_string(status)}});
    // It has not run there: what was missing may have come a moment later.
    m_blocked[m_attempt->server] = loopNow() + turnDownPause;
    releaseAttempt();
    if (left(loopNow()) < leastTimeToRepeat) {
        refuse(503, "turned_down", age());
        return;
    }
    if (!m_state.retries(m_context.service->name).takeRetry()) {
        refuse(503, "retry_budget", m_context.route->latencyObjective);
        return;
    }
    place();
}

void Exchange::onAnswered()
{
    ServerState *server = m_state.book.find(m_attempt->server);
    const bool isFailure = m_attempt->status >= 500;
    if (server) {
        if (isFailure)
            server->health.noteFailure(ServerHealth::Failure::Answered, loopNow());
        else
            server->health.noteSuccess(loopNow());
    }
    if (isFailure && !m_isStreaming && mayRepeat() && takeRepeat()) {
        repeat("server_failed");
        return;
    }
    const std::unique_ptr<BackendAttempt> attempt = std::move(m_attempt);
    m_attempt = nullptr;
    releaseWork(*attempt);
    if (attempt->isForwarding) {
        if (!m_isStreaming)
            m_session->beginStream(attempt->status, attempt->fields);
        m_session->writeStream(m_events.rest());
        m_session->endStream();
    } else if (m_isStreaming) {
        // A stream that was to go on elsewhere can't end with another answer's status.
        m_session->abort();
        logNotable("stream_broken",
                   {{"id", m_context.call.id},
                    {"server", attempt->server},
                    {"status", attempt->status},
                    {"last", m_events.lastId()}});
    } else {
        m_session->answer(attempt->status, attempt->fields, attempt->body);
    }
    logRoutine("answered",
               {{"id", m_context.call.id},
                {"route", m_context.route->name},
                {"kind", kindText(m_context.route->kind)},
                {"server", attempt->server},
                {"status", attempt->status},
                {"age_ms", age()},
                {"events", m_events.events()}});
    Metrics::observe("request_seconds", inSeconds(age()),
                     {{"kind", kindText(m_context.route->kind)}});
    finish("answered");
}

// The attempt ended without a whole answer.
void Exchange::onBroken(ExchangeEnd end)
{
    const Instant now = loopNow();
    const ServerName name = m_attempt->server;
    const bool isWithheld = end == ExchangeEnd::NotSent && !mayStillSend();
    if (ServerState *server = m_state.book.find(name); server && !isWithheld) {
        server->health.noteFailure(end == ExchangeEnd::NotSent ? ServerHealth::Failure::Unreachable
                                                               : ServerHealth::Failure::Cut,
                                   now);
        if (server->health.isAvoided(now)) {
            logNotable("server_avoided",
                       {{"server", name},
                        {"reason", exchangeEndText(end)},
                        {"for_ms", server->health.avoidedUntil() - now}});
        }
    }
    logNotable("attempt_broken",
               {{"id", m_context.call.id},
                {"server", name},
                {"address", m_attempt->address},
                {"end", exchangeEndText(end)},
                {"status", m_attempt->status},
                {"events", m_events.events()},
                {"took_ms", now - m_attempt->sentAt},
                {"age_ms", age()}});
    Metrics::count("attempts_broken", {{"end", exchangeEndText(end)}});
    if (end == ExchangeEnd::NotSent) {
        releaseAttempt();
        if (left(now) < leastTimeToRepeat)
            refuse(503, "unreachable", age());
        else
            place();
        return;
    }
    ++m_runs;
    if (!m_context.fingerprint.isEmpty())
        m_state.suspicions.noteCut(m_context.fingerprint, name, m_attempt->incarnation, now);
    if (mayRepeat() && takeRepeat()) {
        m_events.dropRest();
        repeat("attempt_broken");
        return;
    }
    releaseAttempt();
    fail(502, "attempt_broken");
}

// Whether another server may run the request although this one may have run it.
bool Exchange::mayRepeat() const
{
    if (m_arrivals >= m_context.route->maxAttempts || left(loopNow()) < leastTimeToRepeat)
        return false;
    switch (m_context.route->kind) {
    case CallKind::Idempotent:
        return true;
    case CallKind::NonIdempotent:
        return false;
    case CallKind::Stream:
        // Without an id to go on from, a caller that has events would get them twice.
        return m_context.route->isResumable && (!m_isStreaming || !m_events.lastId().empty());
    }
    return false;
}

bool Exchange::takeRepeat()
{
    if (m_state.retries(m_context.service->name).takeRetry())
        return true;
    Metrics::count("retry_budget_spent");
    return false;
}

void Exchange::repeat(const char *reason)
{
    logRoutine("repeated",
               {{"id", m_context.call.id},
                {"server", m_attempt->server},
                {"reason", reason},
                {"last", m_events.lastId()},
                {"age_ms", age()}});
    Metrics::count("repeats", {{"reason", reason}});
    releaseAttempt();
    place();
}

// What was counted at the server for the attempt.
void Exchange::releaseWork(const BackendAttempt &attempt)
{
    ServerState *server = m_state.book.find(attempt.server);
    if (!server)
        return;
    server->own.running -= attempt.work.running;
    server->own.prefillTokens -= attempt.work.prefillTokens;
    server->own.memoryTokens -= attempt.work.memoryTokens;
}

void Exchange::releaseAttempt()
{
    if (!m_attempt)
        return;
    releaseWork(*m_attempt);
    m_attempt.reset();
}

void Exchange::setTimer()
{
    Instant at = m_context.giveUpAt;
    if (m_attempt && !m_patienceOver && !m_attempt->firstByteSeen) {
        const Duration patience = std::max(
            {shortestPatience, scaled(m_context.route->latencyObjective, patienceObjectives),
             scaled(m_attempt->expected, patienceExpected)});
        at = std::min(at, m_attempt->sentAt + patience);
    }
    m_timer.expires_at(at);
    m_timer.async_wait([weak = weak_from_this()](const SystemError &ec) {
        const auto self = weak.lock();
        if (!ec && self)
            self->onTimer();
    });
}

void Exchange::onTimer()
{
    const Instant now = loopNow();
    if (m_isOver || now < std::chrono::time_point_cast<Duration>(m_timer.expiry()))
        return;
    if (now >= m_context.giveUpAt) {
        onGiveUp();
        return;
    }
    onPatienceOver();
}

void Exchange::onPatienceOver()
{
    m_patienceOver = true;
    if (!m_attempt || m_attempt->firstByteSeen) {
        setTimer();
        return;
    }
    const Instant now = loopNow();
    if (ServerState *server = m_state.book.find(m_attempt->server))
        server->health.noteFailure(ServerHealth::Failure::Silent, now);
    logNotable("server_silent",
               {{"id", m_context.call.id},
                {"server", m_attempt->server},
                {"expected_ms", m_attempt->expected},
                {"took_ms", now - m_attempt->sentAt}});
    ++m_arrivals;
    if (mayRepeat() && takeRepeat()) {
        ++m_runs;
        m_attempt->connection->close();
        repeat("server_silent");
        return;
    }
    --m_arrivals;
    setTimer();
}

void Exchange::onGiveUp()
{
    if (!m_attempt) {
        if (m_runs > 0)
            fail(504, "deadline");
        else
            refuse(503, "deadline", m_context.route->latencyObjective);
        return;
    }
    ++m_runs;
    if (ServerState *server = m_state.book.find(m_attempt->server);
        server && !m_attempt->firstByteSeen)
        server->health.noteFailure(ServerHealth::Failure::Silent, loopNow());
    m_attempt->connection->close();
    releaseAttempt();
    fail(504, "deadline");
}

void Exchange::onCallerLeft()
{
    logRoutine("caller_left",
               {{"id", m_context.call.id}, {"age_ms", age()}, {"events", m_events.events()}});
    Metrics::count("callers_left");
    if (m_attempt) {
        m_attempt->connection->close();
        releaseAttempt();
    }
    finish("caller_left");
}

void Exchange::refuse(int status, const char *reason, std::optional<Duration> retryAfter)
{
    // A refusal promises that the request has not run.
    if (m_isStreaming || m_runs > 0) {
        fail(502, reason);
        return;
    }
    std::optional<Milliseconds> wait;
    if (retryAfter)
        wait = std::chrono::duration_cast<Milliseconds>(*retryAfter);
    logNotable("refused",
               {{"id", m_context.call.id},
                {"status", status},
                {"reason", reason},
                {"route", m_context.route ? m_context.route->name : std::string("none")},
                {"account", m_context.account ? m_context.account->name : AccountId()},
                {"model", m_context.call.model},
                {"adapter", m_context.call.adapter},
                {"age_ms", age()},
                {"retry_after_ms", wait ? wait->count() : 0},
                {"config", m_context.config ? m_context.config->version : Version()},
                {"arrivals", m_arrivals}});
    Metrics::count("refused", {{"reason", reason}, {"status", std::to_string(status)}});
    std::string fields;
    m_state.dialect.writeOwnFields(m_context.call.id, wait, fields);
    if (m_context.charged > 0) {
        if (SharedQuota *quota = m_state.quotas.find(m_context.account->name))
            quota->refund(m_context.charged);
    }
    m_session->answer(status, fields, reason);
    finish("refused");
}

// The request may have run; nothing is promised.
void Exchange::fail(int status, const char *reason)
{
    logNotable("failed",
               {{"id", m_context.call.id},
                {"status", status},
                {"reason", reason},
                {"route", m_context.route->name},
                {"age_ms", age()},
                {"events", m_events.events()},
                {"arrivals", m_arrivals},
                {"config", m_context.config->version}});
    Metrics::count("failed", {{"reason", reason}, {"status", std::to_string(status)}});
    if (m_isStreaming) {
        m_session->abort();
    } else {
        std::string fields;
        m_state.dialect.writeOwnFields(m_context.call.id, {}, fields);
        m_session->answer(status, fields, reason);
    }
    finish("failed");
}

void Exchange::finish(const char *outcome)
{
    if (m_isOver)
        return;
    m_isOver = true;
    m_timer.cancel();
    if (m_isWaiting)
        m_state.waiting.remove(this);
    Metrics::count("requests", {{"outcome", outcome}});
    m_session.reset();
}

} // namespace quetzalyoke
