#include "Apps/Entry/RequestHandler.h"

#include "Adapters/Metrics.h"
#include "Adapters/StructuredLog.h"
#include "Apps/Entry/AdmissionEstimates.h"
#include "Apps/Entry/BackendMessages.h"
#include "Apps/Entry/RequestLog.h"
#include "Apps/Entry/ServerIncarnationCheck.h"

namespace quetzalyoke {

namespace {

// Largest response that is not a stream; the caller gets it only when it is complete.
constexpr std::size_t maxResponseBytes = 8'388'608;

// With more unsent bytes for a slow caller than this, the server's response is no longer read.
constexpr std::size_t maxUnsentBytes = 262'144;

// A retry needs at least this much time before the deadline.
constexpr Duration minTimeForRetry = std::chrono::milliseconds(30);

// Time per output token in a partly filled batch. Responses are mostly shorter than the stated
// length.
constexpr Duration timePerToken = std::chrono::milliseconds(6);

// An engine tells its status within milliseconds.
constexpr Duration incarnationCheckTimeout = std::chrono::milliseconds(250);

// Before a server that is newer than its entry in the list is tried again.
constexpr Duration incarnationRetryDelay = std::chrono::milliseconds(100);

// Before a server that has not executed a request is sent that request again.
constexpr Duration notRunRetryDelay = std::chrono::milliseconds(20);

// The servers' priorities range from 0 to 9.
constexpr int lowestPriority = 9;

constexpr int httpOk = 200;
constexpr int httpMultipleChoices = 300;

// A server that goes on with a stream for this long has survived the parts of its prompt.
constexpr Duration partSurvivalTime = std::chrono::milliseconds(100);

// How long the version that began a stream is looked for in the store. Another gateway may be about
// to write it.
constexpr Duration versionLookupTime = std::chrono::milliseconds(600);
constexpr std::chrono::milliseconds versionLookupInterval{100};

} // namespace

RequestHandler::RequestHandler(EntryState &state, HttpServerConnection::Pointer callerConnection,
                               HttpRequest &&request)
    : m_state(state), m_callerConnection(std::move(callerConnection)),
      m_request(std::move(request)), m_timer(state.loop)
{ }

void RequestHandler::start()
{
    m_callerConnection->setDisconnectHook([weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->onCallerDisconnected();
    });
    if (const auto rejection = RequestAdmission(m_state, m_request).admit(m_context)) {
        refuse(rejection->status, rejection->reason, rejection->retryAfter);
        return;
    }
    const Instant now = steadyNow();
    m_urgency = requestUrgency(m_context, m_request.arrivedAt);
    m_state.waitQueue.accountWork.add(m_urgency->account);
    m_state.runningRequests.add(shared_from_this());
    m_state.recentUrgencies.record(*m_urgency, now);
    setTimer();
    m_state.waitQueue.retryMoreUrgent(*m_urgency, now);
    if (isUnboundTakeUp())
        determineStreamVersion();
    else
        dispatch();
}

// Returns whether the caller takes a stream up and the version that began it has not been found.
bool RequestHandler::isUnboundTakeUp() const
{
    return m_context.metadata.isTakeUp && m_context.route->kind == RouteKind::Stream
        && !m_streamVersion;
}

StreamKey RequestHandler::streamKey() const
{
    const RequestMetadata &metadata = m_context.metadata;
    return quetzalyoke::streamKey(m_context.account ? m_context.account->name : AccountId(),
                                  metadata.isTakeUp ? metadata.resumedAttempt : metadata.id);
}

// A stream that the caller takes up goes on at servers of the software version that began it. With
// several versions that must be known, since nothing that the caller sends tells it. That there is
// one version only must be known of the time of this request: the stream may have begun elsewhere
// at a version that this gateway has not heard of.
void RequestHandler::determineStreamVersion()
{
    m_streamVersion = m_state.streamVersions.find(streamKey());
    if (m_streamVersion) {
        dispatch();
        return;
    }
    if (!m_state.mayHaveSeveralVersions(m_context.service->name)) {
        m_state.listConfirmation.request([self = shared_from_this()](bool isConfirmed) {
            if (!self->m_isFinished)
                self->onListConfirmed(isConfirmed);
        });
        return;
    }
    if (m_context.metadata.resumedAttempt.isEmpty()) {
        refuse(503, "unknown_stream_version", {});
        return;
    }
    lookUpStreamVersion();
}

void RequestHandler::onListConfirmed(bool isConfirmed)
{
    if (m_state.mayHaveSeveralVersions(m_context.service->name))
        determineStreamVersion();
    else if (isConfirmed)
        dispatch();
    else
        refuse(503, "unknown_stream_version", {});
}

void RequestHandler::lookUpStreamVersion()
{
    m_state.platform.readStreamVersion(
        streamKey(), [self = shared_from_this()](const std::optional<SoftwareVersion> &stored) {
            self->onStreamVersionRead(stored);
        });
}

void RequestHandler::onStreamVersionRead(const std::optional<SoftwareVersion> &stored)
{
    if (m_isFinished)
        return;
    const bool isFound = stored && !stored->isEmpty();
    if (isFound || age() >= versionLookupTime) {
        logRoutine("stream_version",
                   {{"id", m_context.metadata.id},
                    {"resumes", m_context.metadata.resumedAttempt},
                    {"software", stored.value_or(SoftwareVersion())},
                    {"read", stored ? 1 : 0},
                    {"age_ms", age()}});
    }
    if (isFound) {
        m_streamVersion = stored;
        dispatch();
        return;
    }
    if (age() >= versionLookupTime) {
        refuse(503, "unknown_stream_version", {});
        return;
    }
    const auto timer = std::make_shared<asio::steady_timer>(m_state.loop, versionLookupInterval);
    timer->async_wait([self = shared_from_this(), timer](const SystemErrorCode &) {
        if (!self->m_isFinished)
            self->determineStreamVersion();
    });
}

// Requests a permit for the best server if it needs one. If none is granted at once, the choice is
// either another server or this one, whose permit is on its way.
ServerChoice RequestHandler::chooseServer(Instant now)
{
    const ServerChoiceInput request = choiceInput(excludedServers(now));
    while (true) {
        ServerChoice choice = m_state.chooser.choose(request, m_state.servers, now);
        if (!choice.needsPermit)
            return choice;
        const RequestPermits &permits = m_state.servers.find(choice.server)->permits;
        if (permits.isPending(m_permitNumber))
            return choice;
        m_permitNumber = m_state.requestPermit(choice.server);
    }
}

ServerChoiceInput RequestHandler::choiceInput(std::set<ServerName> excluded) const
{
    return {m_context.service,     &m_context.metadata, &m_context.prefixHashes,
            std::move(excluded),   m_streamVersion,     m_context.route->eventGapObjective,
            m_state.gatewayCount()};
}

// Returns whether no server may go on with the stream, so that waiting for one would be in vain.
bool RequestHandler::lacksServerOfVersion() const
{
    return m_streamVersion && !m_state.chooser.hasServer(choiceInput({}), m_state.servers);
}

// Returns whether the request has stopped waiting for a server.
bool RequestHandler::dispatch()
{
    const Instant now = steadyNow();
    if (isKnownToCrash()) {
        refuse(503, "crashes_servers", {});
        return true;
    }
    if (m_possibleRuns == 0 && m_state.stop.comesTooLate(m_context.deadline, now)) {
        refuse(503, "stopping", minRetryAfter);
        return true;
    }
    if (lacksServerOfVersion()) {
        const bool isEvacuated = m_state.chooser.isEvacuated(choiceInput({}), m_state.servers);
        refuse(503, isEvacuated ? "evacuated" : "no_server_of_version", {});
        return true;
    }
    // A second version may have come while the take-up was waiting for a server.
    if (isUnboundTakeUp() && m_state.mayHaveSeveralVersions(m_context.service->name)) {
        // It may wait again, which must not begin before this wait has ended.
        asio::post(m_state.loop, [self = shared_from_this()] {
            if (!self->m_isFinished)
                self->determineStreamVersion();
        });
        return true;
    }
    if (m_state.mustAwaitList(*m_context.service)) {
        enqueue({}, "list");
        return false;
    }
    AdmissionInput input;
    input.route = m_context.route;
    input.service = m_context.service;
    input.metadata = &m_context.metadata;
    input.serverChoice = chooseServer(now);
    input.waited = age();
    input.timeLeft = std::min(m_context.deadline, m_state.stop.waitsUntil()) - now;
    addAdmissionEstimates(m_state, *m_urgency, choiceInput({}), m_isWaiting, input, now);
    const ServerChoice::Outcome outcome = input.serverChoice.outcome;
    const bool lacksReplica = outcome == ServerChoice::Outcome::NoModel
        || outcome == ServerChoice::Outcome::NoAdapter
        || (outcome == ServerChoice::Outcome::AllLimited && m_context.service->engine);
    if (lacksReplica)
        m_state.recordWaitingRequest(m_context.metadata.model, m_context.metadata.adapter);
    if (!input.serverChoice.adapterReplicaServer.isEmpty())
        m_state.proposeAdapterReplica(input.serverChoice.adapterReplicaServer,
                                      m_context.metadata.model, m_context.metadata.adapter);
    const AdmissionDecision decision = m_state.admissionPolicy.decide(input, m_state.random());
    switch (decision.action) {
    case AdmissionDecision::Action::Send:
        if (input.serverChoice.needsPermit) {
            enqueue(input, "permit");
            return false;
        }
        send(input.serverChoice);
        return true;
    case AdmissionDecision::Action::Wait:
        enqueue(input, decision.reason);
        return false;
    case AdmissionDecision::Action::Refuse:
        if (outcome == ServerChoice::Outcome::NoAdapter && m_isWaiting)
            m_state.retryAfterEstimator.recordAdapterRefusal(m_context.metadata, now);
        if (decision.isForShortage)
            m_state.recentUrgencies.recordShortage(*m_urgency, m_state.waitQueue.accountWork, now);
        refuse(503, decision.reason,
               m_state.retryAfterEstimator.planReturn(choiceInput({}), input.serverChoice,
                                                      decision.retryAfter, input.timeLeft,
                                                      m_state.random(), now));
        return true;
    }
    return true;
}

void RequestHandler::enqueue(const AdmissionInput &input, const char *reason)
{
    if (m_isWaiting)
        return;
    m_isWaiting = true;
    m_state.waitQueue.add(*m_urgency, shared_from_this());
    logWaiting(m_context, input, reason, age());
}

bool RequestHandler::retryDispatch()
{
    if (m_isFinished || !m_isWaiting)
        return true;
    if (!dispatch())
        return false;
    m_isWaiting = false;
    return true;
}

std::string RequestHandler::buildBackendRequest(Duration timeLeft) const
{
    BackendRequestContext call;
    call.server = m_attempt->server;
    if (m_context.account)
        call.account = m_context.account->name;
    call.timeLeft = std::chrono::duration_cast<Milliseconds>(timeLeft);
    if (m_context.service->engine)
        call.priority = std::min(m_context.priority, lowestPriority);
    if (m_isStreaming)
        call.lastEventId = m_events.lastEventId();
    return backendRequestText(m_state.protocol, m_request, call);
}

void RequestHandler::send(const ServerChoice &choice)
{
    ServerState *server = m_state.servers.find(choice.server);
    const Instant now = steadyNow();
    m_attempt = std::make_unique<BackendAttempt>();
    m_attempt->server = choice.server;
    m_attempt->incarnation = server->listed.incarnation;
    m_attempt->address = server->listed.address;
    m_attempt->softwareVersion = server->listed.softwareVersion;
    m_attempt->sentAt = now;
    m_attempt->expectedFirstByteDelay = choice.expectedTimeToFirstByte;
    m_attempt->usualFirstByteDelay = choice.usualTimeToFirstByte;
    m_attempt->pace = choice.pace;
    m_attempt->serverWork = {1, choice.prefillTokens, choice.kvCacheTokens};
    server->ownWork.requestsInFlight += 1;
    server->ownWork.prefillTokens += choice.prefillTokens;
    server->ownWork.kvCacheTokens += choice.kvCacheTokens;
    const bool isLimited = server->isLimited(now);
    if (isLimited)
        m_attempt->permitUntil = server->permits.take(now);
    server->permits.recordSent(now);
    m_excludedUntil[choice.server] = Instant::max();
    m_firstByteTimedOut = false;

    m_state.chooser.recordRequestSent(choice.server, choiceInput({}));
    if (!m_context.metadata.adapter.isEmpty() && m_context.service->engine)
        m_state.recordAdapterUse(choice.server, m_context.metadata.model,
                                 m_context.metadata.adapter,
                                 expectedDuration(choice.expectedTimeToFirstByte, now));
    logSent(m_context, choice, *server, isLimited, age(), m_sentAttempts + 1);

    m_attempt->connection = m_state.pool.acquire(server->listed.address, m_refusedOn);
    // Status requests count towards a stated limit, not towards the rate for a cold server.
    const bool isStatusCounted = server->requestLimit.limit().has_value();
    if (mustKnowIncarnation(isStatusCounted))
        checkIncarnation(isStatusCounted);
    else
        sendToServer();
}

// The entry of a server that has just started again under its id may still be that of its former
// incarnation, which had another software version. Where that matters, the server at the other end
// of the connection must be the listed one: always where a stream goes on, since this gateway may
// know of one version only because its list is old. A server with a request limit can't be asked
// and is trusted as long as one version is known.
bool RequestHandler::mustKnowIncarnation(bool isLimited) const
{
    const bool isResumableStream = m_context.route->kind == RouteKind::Stream
        && m_context.route->isResumable && m_context.service->engine;
    if (m_attempt->connection->peerIncarnation() == m_attempt->incarnation)
        return false;
    if (m_state.mayBeColdUnnoticed(*m_context.service))
        return true;
    if (!isResumableStream)
        return false;
    return m_state.mayHaveSeveralVersions(m_context.service->name)
        || (goesOnWithStream() && !isLimited);
}

// Returns whether events of the stream have been written, in this request or an earlier one.
bool RequestHandler::goesOnWithStream() const
{
    return m_context.metadata.isTakeUp || m_streamVersion.has_value();
}

void RequestHandler::checkIncarnation(bool isLimited)
{
    m_attempt->isBeingChecked = true;
    setTimer();
    const auto onChecked
        = [self = shared_from_this()](ExchangeOutcome outcome, std::optional<Incarnation> found) {
              if (!self->m_isFinished && self->m_attempt && self->m_attempt->isBeingChecked)
                  self->onIncarnationChecked(outcome, found);
          };
    const std::optional<Incarnation> known = m_attempt->connection->peerIncarnation();
    // A status request would count towards a request limit.
    if (known || isLimited) {
        asio::post(m_state.loop,
                   [onChecked, known] { onChecked(ExchangeOutcome::Complete, known); });
        return;
    }
    Metrics::incrementCounter("incarnation_checks");
    checkServerIncarnation(
        m_state.protocol, m_attempt->address, m_attempt->connection,
        [self = shared_from_this()] { return self->mayStillSend(); },
        [self = shared_from_this(), onChecked](ExchangeOutcome outcome,
                                               std::optional<Incarnation> found) {
            const auto &attempt = self->m_attempt;
            // Without keep-alive the connection is of no use for the request.
            if (attempt && attempt->isBeingChecked
                && !self->m_state.pool.reacquire(attempt->address, attempt->connection))
                attempt->connection->close();
            onChecked(outcome, found);
        });
}

void RequestHandler::onIncarnationChecked(ExchangeOutcome outcome, std::optional<Incarnation> found)
{
    m_attempt->isBeingChecked = false;
    const bool isListed = found == m_attempt->incarnation;
    if (!isListed) {
        logNotable("incarnation_not_confirmed",
                   {{"id", m_context.metadata.id},
                    {"server", m_attempt->server},
                    {"listed", m_attempt->incarnation},
                    {"found", found.value_or(Incarnation())},
                    {"end", exchangeOutcomeText(outcome)},
                    {"software", m_streamVersion.value_or(SoftwareVersion())},
                    {"age_ms", age()}});
    }
    if (outcome == ExchangeOutcome::NotSent || !mayStillSend()) {
        onAttemptFailed(ExchangeOutcome::NotSent);
        return;
    }
    // An engine that has just started again has no model loaded either.
    const bool isOther = found && !isListed;
    if (isOther) {
        m_excludedUntil[m_attempt->server] = steadyNow() + incarnationRetryDelay;
        m_state.coldServers.recordProcessEnd(m_attempt->server, m_attempt->incarnation);
    }
    const bool isUnknown = !isListed || m_attempt->connection->isClosed();
    if (isOther || (isUnknown && goesOnWithStream())) {
        releaseAttempt();
        dispatch();
        return;
    }
    // A stream may begin at an unknown version, but goes on nowhere then.
    if (isUnknown)
        m_attempt->softwareVersion = SoftwareVersion();
    if (m_attempt->connection->isClosed())
        m_attempt->connection = m_state.pool.acquire(m_attempt->address, m_refusedOn);
    sendToServer();
}

void RequestHandler::sendToServer()
{
    const Instant now = steadyNow();
    m_attempt->sentAt = now;
    ExchangeHooks hooks;
    hooks.maySend = [self = shared_from_this()] {
        if (!self->mayStillSend())
            return false;
        self->beginRun();
        return true;
    };
    hooks.onHeader = [self = shared_from_this()](int status, const auto &fields) {
        return self->onHeader(status, fields);
    };
    hooks.onBody = [self = shared_from_this()](std::string_view data) { self->onBody(data); };
    hooks.onEnd = [self = shared_from_this()](ExchangeOutcome outcome) { self->onEnd(outcome); };
    m_attempt->isConnectionUsed = !m_attempt->connection->isNew();
    setTimer();
    if (m_attempt->isConnectionUsed)
        beginRun();
    std::string text = buildBackendRequest(remainingTime(now));
    m_attempt->memory = ResponseMemory(m_request.memory.another(text.size()));
    m_attempt->connection->send(std::move(text), m_request.method == "HEAD", std::move(hooks));
}

// The server may have left, been evacuated, asked for a pause or become limited while the
// connection was being established, or that took longer than the permit is valid.
bool RequestHandler::mayStillSend() const
{
    const ServerState *server = m_attempt ? m_state.servers.find(m_attempt->server) : nullptr;
    const Instant now = steadyNow();
    return server && !isKnownToCrash() && server->listed.incarnation == m_attempt->incarnation
        && !server->listed.isLeaving && !server->isEvacuated && !server->isPaused(now)
        && (!server->isLimited(now) || now < m_attempt->permitUntil);
}

void RequestHandler::beginRun()
{
    m_attempt->run = m_state.crashDetector.beginRun(m_context.crashSuspects, m_attempt->server,
                                                    m_attempt->incarnation);
}

// Returns whether servers have crashed because of a part of this request since it was admitted.
bool RequestHandler::isKnownToCrash() const
{
    return !m_context.isCrashTrial && m_state.crashDetector.mustRefuse(m_context.crashSuspects);
}

// The stated length of a response may be any number, but nobody waits longer than the deadline.
Duration RequestHandler::expectedDuration(Duration expectedFirstByteDelay, Instant now) const
{
    const Duration timeLeft = remainingTime(now);
    const std::int64_t tokens
        = std::min(m_context.metadata.maxOutputTokens.count(), timeLeft / timePerToken);
    return std::min(timeLeft, expectedFirstByteDelay + timePerToken * tokens);
}

ExchangeHooks::HeaderDecision RequestHandler::onHeader(int status,
                                                       const boost::beast::http::fields &fields)
{
    if (!m_attempt)
        return ExchangeHooks::HeaderDecision::Skip;
    const BackendResponseInfo responseInfo
        = m_state.protocol.parseResponseHeaders(status, fields, m_context.metadata.id);
    // A server may repeat an earlier refusal on a kept connection. Believed, it would state that a
    // request has not run that may be running.
    const bool isUnattributedRefusal
        = responseInfo.notRun && !responseInfo.namesRequest && m_attempt->isConnectionUsed;
    if (responseInfo.isForOtherRequest || isUnattributedRefusal) {
        logNotable("foreign_answer",
                   {{"id", m_context.metadata.id},
                    {"server", m_attempt->server},
                    {"status", status},
                    {"refusal", isUnattributedRefusal ? 1 : 0}});
        Metrics::incrementCounter("foreign_answers");
        return ExchangeHooks::HeaderDecision::Skip;
    }
    m_attempt->status = status;
    m_attempt->responseInfo = responseInfo;
    m_state.applyServerSignal(m_attempt->server, m_attempt->incarnation, responseInfo,
                              m_attempt->sentAt);
    recordServerLoad(responseInfo);
    const bool isSuccess = status >= httpOk && status < httpMultipleChoices;
    const bool isJoinable = !m_isStreaming || isEventStream(status, fields);
    if (isSuccess && (!responseInfo.isSigned || responseInfo.isEncoded || !isJoinable)) {
        logNotable("bad_answer",
                   {{"id", m_context.metadata.id},
                    {"server", m_attempt->server},
                    {"status", status},
                    {"signed", responseInfo.isSigned ? 1 : 0},
                    {"joinable", isJoinable ? 1 : 0}});
        abandonResponse();
        return ExchangeHooks::HeaderDecision::Skip;
    }
    m_state.protocol.writeCallerResponseHeaders(fields, m_attempt->fields);
    if (!m_attempt->memory.addHeader(fields, m_attempt->fields)) {
        failAttempt(502, "memory");
        return ExchangeHooks::HeaderDecision::Skip;
    }
    m_attempt->isForwarding = isSuccess && m_context.route->kind == RouteKind::Stream;
    return ExchangeHooks::HeaderDecision::Accept;
}

void RequestHandler::recordServerLoad(const BackendResponseInfo &responseInfo)
{
    ServerState *server = m_state.servers.find(m_attempt->server);
    if (!responseInfo.load || !server || server->listed.incarnation != m_attempt->incarnation)
        return;
    const ReportedLoad &load = *responseInfo.load;
    server->loadEstimator.record(load.running, load.waiting, steadyNow());
    if (load.pacePercent)
        server->pace.record(*load.pacePercent, steadyNow());
}

void RequestHandler::onBody(std::string_view data)
{
    if (!m_attempt)
        return;
    onFirstByte();
    if (m_attempt->isForwarding) {
        forward(data);
        return;
    }
    if (m_attempt->body.size() + data.size() > maxResponseBytes) {
        abandonResponse();
        return;
    }
    if (!m_attempt->memory.addBody(data.size())) {
        failAttempt(502, "memory");
        return;
    }
    m_attempt->body.append(data);
}

void RequestHandler::onFirstByte()
{
    if (m_attempt->firstByteSeen)
        return;
    m_attempt->firstByteSeen = true;
    ServerState *server = m_state.servers.find(m_attempt->server);
    if (!server)
        return;
    server->ownWork.prefillTokens -= m_attempt->serverWork.prefillTokens;
    m_attempt->serverWork.prefillTokens = 0;
    const Duration elapsed = steadyNow() - m_attempt->sentAt;
    Metrics::observeLatency("first_byte_seconds", toSeconds(elapsed));
    if (m_attempt->status >= httpMultipleChoices)
        return;
    // The pace may have changed while the request ran.
    const double pace = (m_attempt->pace + server->pace.factor(steadyNow())) / 2;
    server->health.recordLatency(elapsed, m_attempt->usualFirstByteDelay, pace);
}

// Ends the attempt because of its response, whose rest is of no use. The server may have run the
// request, so the attempt counts like one whose response broke.
void RequestHandler::abandonResponse()
{
    m_attempt->connection->close();
    onEnd(ExchangeOutcome::Malformed);
}

// Only whole events are forwarded, so that another server can continue after the last one if this
// attempt fails.
void RequestHandler::forward(std::string_view data)
{
    const std::string events = m_events.extractEvents(data);
    if (m_events.isEventTooLarge()) {
        abandonResponse();
        return;
    }
    if (!m_attempt->memory.setIncompleteEvent(m_events.remainder().size())) {
        failAttempt(502, "memory");
        return;
    }
    if (events.empty())
        return;
    const Instant now = steadyNow();
    recordPartSurvival(now);
    if (!m_isStreaming) {
        m_isStreaming = true;
        m_streamVersion = m_attempt->softwareVersion;
        if (m_context.route->isResumable)
            m_state.streamVersions.record(streamKey(), m_context.service->name, *m_streamVersion,
                                          now);
        m_callerConnection->beginChunkedResponse(m_attempt->status, m_attempt->fields);
    }
    m_callerConnection->writeChunk(events);
    if (m_callerConnection->unsentBytes() <= maxUnsentBytes || !m_attempt)
        return;
    m_attempt->connection->pauseReading();
    m_callerConnection->setSendBufferEmptyHook([weak = weak_from_this()] {
        const auto self = weak.lock();
        if (self && self->m_attempt)
            self->m_attempt->connection->resumeReading();
    });
}

// All requests share parts, so these must be known to be sound soon after a restart of this
// gateway. A whole request is survived only once its response is complete.
void RequestHandler::recordPartSurvival(Instant now)
{
    if (!m_attempt->firstEventAt)
        m_attempt->firstEventAt = now;
    if (m_attempt->arePartsSurvived || now - *m_attempt->firstEventAt < partSurvivalTime)
        return;
    m_attempt->arePartsSurvived = true;
    std::vector<Fingerprint> parts = m_context.crashSuspects;
    std::erase_if(parts, [](const Fingerprint &it) { return !isPromptPart(it); });
    m_state.crashDetector.recordSurvival(parts);
}

// Called when the attempt ends while the server may be running the request and nothing shows that
// it lives. With \a isChecked the server is checked for a crash.
void RequestHandler::recordPossibleCrash(bool isChecked)
{
    const auto suspects = m_state.crashDetector.unsurvived(m_context.crashSuspects);
    if (suspects.empty())
        return;
    m_state.crashDetector.recordConnectionLoss(suspects, m_attempt->server, m_attempt->incarnation,
                                               steadyNow());
    if (!isChecked)
        return;
    m_state.crashCheck.start(
        m_attempt->address,
        [self = shared_from_this(), server = m_attempt->server,
         incarnation = m_attempt->incarnation](bool isRefused) {
            const ServerState *known = self->m_state.servers.find(server);
            // A server that announces its end ends as planned.
            const bool hasCrashed = isRefused
                && !(known && known->listed.incarnation == incarnation && known->listed.isLeaving);
            logNotable("crash_check",
                       {{"id", self->m_context.metadata.id},
                        {"server", server},
                        {"incarnation", incarnation},
                        {"refused", isRefused ? 1 : 0},
                        {"crashed", hasCrashed ? 1 : 0}});
            if (hasCrashed) {
                self->m_state.crashDetector.recordServerLoss(server, incarnation, steadyNow());
                self->m_state.coldServers.recordProcessEnd(server, incarnation);
            }
            self->onCrashChecked(server, hasCrashed);
        });
}

void RequestHandler::onEnd(ExchangeOutcome outcome)
{
    if (!m_attempt)
        return;
    if (outcome != ExchangeOutcome::NotSent)
        ++m_sentAttempts;
    // A server that ends a stream inside an event has broken it off, however its connection ends.
    if (outcome == ExchangeOutcome::Complete && m_attempt->isForwarding && m_events.isInsideEvent())
        outcome = ExchangeOutcome::Incomplete;
    if (outcome != ExchangeOutcome::Complete) {
        onAttemptFailed(outcome);
        return;
    }
    if (m_attempt->responseInfo.notRun) {
        onNotRun();
        return;
    }
    ++m_possibleRuns;
    onFirstByte();
    onResponseComplete();
}

std::set<ServerName> RequestHandler::excludedServers(Instant now) const
{
    std::set<ServerName> excluded;
    for (const auto &[server, until] : m_excludedUntil) {
        if (now < until)
            excluded.insert(server);
    }
    return excluded;
}

void RequestHandler::onNotRun()
{
    const int status = m_attempt->status;
    logRoutine("turned_down",
               {{"id", m_context.metadata.id},
                {"server", m_attempt->server},
                {"status", status},
                {"age_ms", age()}});
    Metrics::incrementCounter("turned_down", {{"status", std::to_string(status)}});
    // The request has not run there, and whatever the server lacked may be available shortly.
    m_excludedUntil[m_attempt->server] = steadyNow() + notRunRetryDelay;
    // A second copy of the refusal would be taken for the answer to the next send of this request.
    m_refusedOn.push_back(m_attempt->connection);
    releaseAttempt();
    if (remainingTime(steadyNow()) < minTimeForRetry) {
        refuse(503, "turned_down", age());
        return;
    }
    if (!m_state.retryBudget(m_context.service->name).tryConsumeRetry(m_state.random())) {
        refuse(503, "retry_budget", m_context.route->latencyObjective);
        return;
    }
    dispatch();
}

void RequestHandler::onResponseComplete()
{
    ServerState *server = m_state.servers.find(m_attempt->server);
    const bool isFailure = m_attempt->status >= 500;
    if (server) {
        if (isFailure)
            server->health.recordFailure(ServerHealth::Failure::ErrorResponse, steadyNow());
        else
            server->health.recordSuccess(steadyNow());
    }
    // A stream that has begun can go on at another server whatever this one answered.
    const bool isRetryable = m_isStreaming ? !m_attempt->isForwarding : isFailure;
    if (isRetryable && mayRetry() && tryConsumeRetry()) {
        retryRequest(m_attempt->server, "server_failed");
        return;
    }
    const bool isSuccess = !isFailure && m_attempt->status < httpMultipleChoices;
    if (m_attempt->connection->isResponseEndedByClose())
        recordPossibleCrash(true);
    else if (isSuccess)
        m_state.crashDetector.recordSurvival(m_context.crashSuspects);
    const std::unique_ptr<BackendAttempt> attempt = std::move(m_attempt);
    m_attempt = nullptr;
    releaseWork(*attempt);
    m_state.retryAfterEstimator.recordEnd(m_context.service->name, steadyNow() - attempt->sentAt);
    if (attempt->isForwarding) {
        if (!m_isStreaming)
            m_callerConnection->beginChunkedResponse(attempt->status, attempt->fields);
        m_callerConnection->writeChunk(m_events.remainder());
        m_callerConnection->endChunkedResponse();
    } else if (m_isStreaming) {
        // The header of the stream has been sent, so the caller can't get this response's status.
        m_callerConnection->abort();
        logNotable("stream_broken",
                   {{"id", m_context.metadata.id},
                    {"server", attempt->server},
                    {"status", attempt->status},
                    {"last", m_events.lastEventId()}});
    } else {
        m_callerConnection->sendResponse(attempt->status, attempt->fields, attempt->body);
    }
    logAnswered(m_context, *attempt, m_events.eventCount(), age());
    finish("answered");
}

// Called when an attempt ends without a complete response.
void RequestHandler::onAttemptFailed(ExchangeOutcome outcome)
{
    const Instant now = steadyNow();
    const ServerName name = m_attempt->server;
    const bool wasWithheld = outcome == ExchangeOutcome::NotSent && !mayStillSend();
    if (ServerState *server = m_state.servers.find(name); server && !wasWithheld) {
        server->health.recordFailure(outcome == ExchangeOutcome::NotSent
                                         ? ServerHealth::Failure::Unreachable
                                         : ServerHealth::Failure::ConnectionLost,
                                     now);
        if (server->health.isAvoided(now)) {
            logNotable("server_avoided",
                       {{"server", name},
                        {"reason", exchangeOutcomeText(outcome)},
                        {"for_ms", server->health.avoidedUntil() - now}});
        }
    }
    logAttemptBroken(m_context, *m_attempt, outcome, m_events.eventCount(), age());
    if (outcome == ExchangeOutcome::NotSent) {
        if (m_attempt->connection->wasRefused() && !wasWithheld) {
            m_state.crashDetector.recordServerLoss(name, m_attempt->incarnation, now);
            m_state.coldServers.recordProcessEnd(name, m_attempt->incarnation);
        }
        if (wasWithheld)
            m_excludedUntil.erase(name);
        releaseAttempt();
        if (remainingTime(now) < minTimeForRetry)
            refuse(503, "unreachable", age());
        else
            dispatch();
        return;
    }
    ++m_possibleRuns;
    m_events.dropIncompleteEvent();
    const bool mayBeGuilty
        = hasUnsurvivedPart() || m_state.crashDetector.isSuspected(m_context.crashSuspects);
    recordPossibleCrash(outcome == ExchangeOutcome::Incomplete);
    if (mayBeGuilty && outcome == ExchangeOutcome::Incomplete && mayRetry()) {
        m_isAwaitingCrashCheck = true;
        releaseAttempt();
        setTimer();
        return;
    }
    if (mayRetry() && tryConsumeRetry()) {
        retryRequest(name, "attempt_broken");
        return;
    }
    releaseAttempt();
    fail(502, "attempt_broken");
}

bool RequestHandler::hasUnsurvivedPart() const
{
    const auto suspects = m_state.crashDetector.unsurvived(m_context.crashSuspects);
    return std::any_of(suspects.begin(), suspects.end(), isPromptPart);
}

// A request that may have crashed its server must not crash the next one.
void RequestHandler::onCrashChecked(const ServerName &server, bool hasCrashed)
{
    if (m_isFinished || !std::exchange(m_isAwaitingCrashCheck, false))
        return;
    if ((hasCrashed && hasUnsurvivedPart()) || !mayRetry() || !tryConsumeRetry()) {
        fail(502, hasCrashed ? "server_crashed" : "attempt_broken");
        return;
    }
    retryRequest(server, "attempt_broken");
}

// Returns whether another server may run the request although this one may have run it.
bool RequestHandler::mayRetry() const
{
    if (m_context.isCrashTrial || m_sentAttempts >= m_context.route->maxAttempts
        || remainingTime(steadyNow()) < minTimeForRetry)
        return false;
    switch (m_context.route->kind) {
    case RouteKind::Idempotent:
        return true;
    case RouteKind::NonIdempotent:
        return false;
    case RouteKind::Stream:
        // Without an event id to resume after, the caller would get its events twice.
        return m_context.route->isResumable && (!m_isStreaming || !m_events.lastEventId().empty())
            && !lacksServerOfVersion();
    }
    return false;
}

bool RequestHandler::tryConsumeRetry()
{
    if (m_state.retryBudget(m_context.service->name).tryConsumeRetry(m_state.random()))
        return true;
    Metrics::incrementCounter("retry_budget_spent");
    return false;
}

void RequestHandler::retryRequest(const ServerName &server, const char *reason)
{
    logRoutine("repeated",
               {{"id", m_context.metadata.id},
                {"server", server},
                {"reason", reason},
                {"software", m_streamVersion.value_or(SoftwareVersion())},
                {"last", m_events.lastEventId()},
                {"age_ms", age()}});
    Metrics::incrementCounter("repeats", {{"reason", reason}});
    releaseAttempt();
    dispatch();
}

// Subtracts the work that was counted at the server for the attempt.
void RequestHandler::releaseWork(const BackendAttempt &attempt)
{
    m_state.crashDetector.endRun(attempt.run);
    m_state.servers.releaseWork(attempt.server, attempt.serverWork);
}

void RequestHandler::releaseAttempt()
{
    if (!m_attempt)
        return;
    releaseWork(*m_attempt);
    m_attempt.reset();
}

bool RequestHandler::isSentToServer() const
{
    return m_attempt && !m_attempt->isBeingChecked;
}

// Gives up the attempt, whose request has not been sent, if there is one.
void RequestHandler::abandonCheck()
{
    if (!m_attempt)
        return;
    m_attempt->connection->close();
    releaseAttempt();
}

void RequestHandler::setTimer()
{
    Instant at = m_context.deadline;
    if (m_attempt && m_attempt->isBeingChecked) {
        at = std::min(at, m_attempt->sentAt + incarnationCheckTimeout);
    } else if (m_attempt && !m_firstByteTimedOut && !m_attempt->firstByteSeen) {
        at = std::min(at, m_attempt->firstByteTimeoutAt(m_context.route->latencyObjective));
    }
    m_timer.expires_at(at);
    m_timer.async_wait([weak = weak_from_this()](const SystemErrorCode &ec) {
        const auto self = weak.lock();
        if (!ec && self)
            self->onTimer();
    });
}

void RequestHandler::onTimer()
{
    const Instant now = steadyNow();
    if (m_isFinished || now < std::chrono::time_point_cast<Duration>(m_timer.expiry()))
        return;
    if (now >= m_context.deadline) {
        onDeadline();
        return;
    }
    onFirstByteTimeout();
}

void RequestHandler::onFirstByteTimeout()
{
    if (m_attempt && m_attempt->isBeingChecked) {
        m_attempt->connection->close();
        onIncarnationChecked(ExchangeOutcome::Incomplete, {});
        if (!m_isFinished)
            setTimer();
        return;
    }
    m_firstByteTimedOut = true;
    if (!m_attempt || m_attempt->firstByteSeen) {
        setTimer();
        return;
    }
    const Instant now = steadyNow();
    if (ServerState *server = m_state.servers.find(m_attempt->server))
        server->health.recordFailure(ServerHealth::Failure::TimedOut, now);
    logNotable("server_silent",
               {{"id", m_context.metadata.id},
                {"server", m_attempt->server},
                {"expected_ms", m_attempt->expectedFirstByteDelay},
                {"took_ms", now - m_attempt->sentAt}});
    ++m_sentAttempts;
    if (mayRetry() && tryConsumeRetry()) {
        ++m_possibleRuns;
        recordPossibleCrash(false);
        m_attempt->connection->close();
        retryRequest(m_attempt->server, "server_silent");
        return;
    }
    --m_sentAttempts;
    setTimer();
}

void RequestHandler::onDeadline()
{
    ServerState *server = isSentToServer() ? m_state.servers.find(m_attempt->server) : nullptr;
    if (server && !m_attempt->firstByteSeen)
        server->health.recordFailure(ServerHealth::Failure::TimedOut, steadyNow());
    endWithoutResponse("deadline");
}

void RequestHandler::endWithoutResponse(const char *reason)
{
    if (isSentToServer()) {
        recordPossibleCrash(false);
        failAttempt(504, reason);
        return;
    }
    abandonCheck();
    if (m_possibleRuns > 0)
        fail(504, reason);
    else
        refuse(503, reason, m_context.route->latencyObjective);
}

void RequestHandler::onCallerDisconnected()
{
    logRoutine(
        "caller_left",
        {{"id", m_context.metadata.id}, {"age_ms", age()}, {"events", m_events.eventCount()}});
    Metrics::incrementCounter("callers_left");
    if (isSentToServer()) {
        recordPossibleCrash(false);
        m_attempt->connection->close();
        releaseAttempt();
    }
    abandonCheck();
    finish("caller_left");
}

void RequestHandler::refuse(int status, const char *reason, std::optional<Duration> retryAfter)
{
    // A refusal states that the request has not run.
    if (m_isStreaming || m_possibleRuns > 0) {
        fail(502, reason);
        return;
    }
    std::optional<Milliseconds> retryAfterMs;
    if (retryAfter)
        retryAfterMs = std::chrono::ceil<Milliseconds>(*retryAfter);
    logRefused(m_context, status, reason, retryAfterMs, age(), m_sentAttempts);
    std::string fields;
    m_state.protocol.writeOwnResponseHeaders(m_context.metadata.id, retryAfterMs, fields);
    if (m_context.chargedCost > 0) {
        if (SharedQuota *quota = m_state.quotas.find(m_context.account->name))
            quota->refund(m_context.chargedCost);
    }
    m_callerConnection->sendResponse(status, fields,
                                     m_context.problem.empty() ? reason : m_context.problem);
    finish("refused");
}

// Ends the attempt, which may have run, and the request with it.
void RequestHandler::failAttempt(int status, const char *reason)
{
    ++m_possibleRuns;
    m_attempt->connection->close();
    releaseAttempt();
    fail(status, reason);
}

// Called when the request may have run: the response doesn't state that it has not.
void RequestHandler::fail(int status, const char *reason)
{
    logFailed(m_context, status, reason, m_events.eventCount(), age(), m_sentAttempts);
    if (m_isStreaming) {
        m_callerConnection->abort();
    } else {
        std::string fields;
        m_state.protocol.writeOwnResponseHeaders(m_context.metadata.id, {}, fields);
        m_callerConnection->sendResponse(status, fields, reason);
    }
    finish("failed");
}

void RequestHandler::finish(const char *outcome)
{
    if (m_isFinished)
        return;
    m_isFinished = true;
    m_timer.cancel();
    m_state.runningRequests.remove(this);
    if (m_isWaiting)
        m_state.waitQueue.remove(this);
    if (m_urgency)
        m_state.waitQueue.accountWork.remove(m_urgency->account);
    Metrics::incrementCounter("requests", {{"outcome", outcome}});
    m_callerConnection.reset();
}

} // namespace quetzalyoke
