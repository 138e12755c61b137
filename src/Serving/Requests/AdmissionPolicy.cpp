#include "Serving/Requests/AdmissionPolicy.h"

#include <algorithm>

namespace quetzalyoke {

namespace {

// A service without a usable server usually has one again after a restart, which takes about this
// long.
constexpr Duration expectedServerRestart = std::chrono::milliseconds(600);

// Nobody knows how long an evacuation lasts. Callers must not retry all the time.
constexpr Duration evacuationRetryDelay = std::chrono::seconds(2);

// Time before a load from the local disk starts: for the order and, if the engine is full, an
// unload.
constexpr Duration localLoadPreparation = std::chrono::milliseconds(400);

// A caller abandons a stream that brings no event for the longest of these times: a fixed one, a
// multiple of the latency objective and a multiple of the longest pause that the route states.
constexpr Duration minPatience = std::chrono::seconds(2);
constexpr int patiencePerObjective = 4;
constexpr int patiencePerEventGap = 8;

} // namespace

double expectedUtilization(const ServerState &server, const ServerDirectory &directory,
                           double prefillTokensPerMs,
                           const std::function<double(const ModelName &)> &promptTokensPerSecond)
{
    double tokensPerSecond = 0;
    for (const auto &[model, adapters] : server.loadedModels) {
        const std::size_t replicas = directory.serversWithModel(model).size();
        tokensPerSecond += promptTokensPerSecond(model)
            / static_cast<double>(std::max<std::size_t>(1, replicas));
    }
    return tokensPerSecond / (prefillTokensPerMs * 1000);
}

// Returns how long from now on the caller waits for the first byte.
Duration AdmissionPolicy::timeForFirstByte(const AdmissionInput &input) const
{
    const Route &route = *input.route;
    if (route.kind != RouteKind::Stream)
        return input.timeLeft;
    const Duration patience
        = std::max({minPatience, Duration(route.latencyObjective) * patiencePerObjective,
                    Duration(route.eventGapObjective) * patiencePerEventGap});
    return std::min(input.timeLeft, patience - input.waited);
}

// Returns the delay after which the caller is to return for capacity that comes after \a delay. It
// may come earlier than that and wait for the rest. If that is in vain, too, the delay states the
// truth even if no caller waits that long.
Duration AdmissionPolicy::returnDelay(Duration delay, const AdmissionInput &input,
                                      double spread) const
{
    AdmissionInput later = input;
    const Duration maxDelay = scaled(input.timeLeft, maxRetryAfterShare);
    later.waited = Duration::zero();
    later.timeLeft = input.timeLeft - maxDelay;
    // The jitter may let it return earlier by a tenth.
    if (delay < scaled(maxDelay, 0.9) + timeForFirstByte(later))
        return boundedRetryAfter(delay, input.timeLeft, spread);
    return std::max(minRetryAfter, scaled(delay, 1 + spread / 2));
}

// Decides by an estimate that is likely to hold. A request waits if it can still be in time, or if
// the capacity comes later than the caller could return. Otherwise the caller is to return.
AdmissionDecision AdmissionPolicy::waitOrReturn(const AdmissionInput &input, Duration timeUntilRoom,
                                                double spread) const
{
    AdmissionDecision decision;
    decision.reason = serverChoiceOutcomeText(input.serverChoice.outcome);
    // Both are those of the arrival, so that a request which waits isn't refused later on although
    // the estimate holds.
    const Duration roomAfterArrival = input.waited + timeUntilRoom;
    const bool canBeInTime = roomAfterArrival < input.route->latencyObjective;
    const bool canReturn
        = roomAfterArrival <= scaled(input.waited + input.timeLeft, maxRetryAfterShare);
    if (timeUntilRoom < timeForFirstByte(input) && (canBeInTime || !canReturn)) {
        decision.action = AdmissionDecision::Action::Wait;
        return decision;
    }
    decision.action = AdmissionDecision::Action::Refuse;
    decision.retryAfter = returnDelay(timeUntilRoom, input, spread);
    return decision;
}

Duration AdmissionPolicy::maxAdapterWaitTime(const AdmissionInput &input) const
{
    const Duration objective = input.route->latencyObjective;
    const Duration maxWait
        = maxWaitTime(input, scaled(objective, m_settings.adapterWaitShareOfObjective));
    // An adapter that usually loads within milliseconds may have to wait for its engine's load of a
    // model. Only a wait that has ended in vain shows that the next one will.
    const bool isHopeless = input.timeUntilRoom && *input.timeUntilRoom > maxWait;
    return isHopeless ? Duration::zero() : maxWait;
}

Duration AdmissionPolicy::maxWaitTime(const AdmissionInput &input, Duration minWait) const
{
    const Duration share = scaled(input.waited + input.timeLeft, m_settings.waitShareOfTimeout);
    return std::max(minWait, std::min(share, m_settings.maxTimeoutShareWait));
}

AdmissionDecision AdmissionPolicy::waitOrRefuse(const AdmissionInput &input, Duration maxWait,
                                                Duration retryAfter, double spread) const
{
    AdmissionDecision decision;
    decision.reason = serverChoiceOutcomeText(input.serverChoice.outcome);
    if (input.waited < std::min(maxWait, input.timeLeft)
        && timeForFirstByte(input) > Duration::zero()) {
        decision.action = AdmissionDecision::Action::Wait;
        return decision;
    }
    decision.action = AdmissionDecision::Action::Refuse;
    decision.isForShortage = input.serverChoice.outcome == ServerChoice::Outcome::AllFull;
    decision.retryAfter = boundedRetryAfter(retryAfter, input.timeLeft, spread);
    return decision;
}

AdmissionDecision AdmissionPolicy::decide(const AdmissionInput &input, double spread) const
{
    const Duration objective = input.route->latencyObjective;
    switch (input.serverChoice.outcome) {
    case ServerChoice::Outcome::Chosen:
        break;
    case ServerChoice::Outcome::NoServer:
        return waitOrRefuse(input, scaled(objective, m_settings.serverWaitShareOfObjective),
                            expectedServerRestart, spread);
    case ServerChoice::Outcome::AllEvacuated:
        return waitOrRefuse(input, Duration::zero(), evacuationRetryDelay, spread);
    case ServerChoice::Outcome::NoModel: {
        const auto model = input.service->engine->models.find(input.metadata->model);
        if (model == input.service->engine->models.end()) {
            AdmissionDecision decision;
            decision.reason = "unknown_model";
            decision.retryAfter = boundedRetryAfter(expectedServerRestart, input.timeLeft, spread);
            return decision;
        }
        const Duration loadTime = input.serverChoice.isModelStoredLocally
            ? model->second.localLoadTime + localLoadPreparation
            : Duration(model->second.weightStoreLoadTime);
        if (input.timeUntilRoom)
            return waitOrReturn(input, *input.timeUntilRoom, spread);
        return waitOrRefuse(input, scaled(objective, m_settings.serverWaitShareOfObjective),
                            loadTime, spread);
    }
    case ServerChoice::Outcome::NoAdapter:
        return waitOrRefuse(input, maxAdapterWaitTime(input),
                            input.timeUntilRoom.value_or(objective), spread);
    case ServerChoice::Outcome::AllPaused:
    case ServerChoice::Outcome::AllLimited: {
        // An adapter is loaded on another server within milliseconds.
        if (!input.serverChoice.adapterReplicaServer.isEmpty()
            && input.waited < scaled(objective, m_settings.adapterWaitShareOfObjective))
            return waitOrRefuse(input, scaled(objective, m_settings.adapterWaitShareOfObjective),
                                objective, spread);
        // Waiting is useful only if a server resumes while the response can still be in time.
        const Duration maxWait = scaled(objective, m_settings.serverWaitShareOfObjective);
        const bool resumesInTime = input.waited + input.serverChoice.timeUntilResume <= maxWait;
        AdmissionDecision decision = waitOrRefuse(input, resumesInTime ? maxWait : Duration::zero(),
                                                  input.serverChoice.timeUntilResume, spread);
        // The delay is not bounded by the time left, since no server accepts the request sooner.
        if (decision.action == AdmissionDecision::Action::Refuse)
            decision.retryAfter = std::max(
                minRetryAfter, scaled(input.serverChoice.timeUntilResume, 1 + spread / 2));
        return decision;
    }
    case ServerChoice::Outcome::AllFull: {
        const Duration maxWait
            = maxWaitTime(input, scaled(objective, m_settings.serverWaitShareOfObjective));
        const bool isLikely = !input.timeUntilRoom || input.waited + *input.timeUntilRoom < maxWait;
        return waitOrRefuse(input, isLikely ? maxWait : Duration::zero(),
                            input.timeUntilRoom.value_or(objective), spread);
    }
    }
    return decideOnServer(input, spread);
}

AdmissionDecision AdmissionPolicy::decideOnServer(const AdmissionInput &input, double spread) const
{
    AdmissionDecision decision;
    const Duration expected = input.serverChoice.expectedTimeToFirstByte;
    if (expected >= timeForFirstByte(input) || input.waited + expected > maxFirstByteTime(input)) {
        decision.reason = "too_late";
        decision.isForShortage = true;
        decision.retryAfter = boundedRetryAfter(expected, input.timeLeft, spread);
        return decision;
    }
    const bool isHeld = mustYield(input);
    decision.action = isHeld ? AdmissionDecision::Action::Wait : AdmissionDecision::Action::Send;
    decision.reason = isHeld ? "yields" : "sent";
    return decision;
}

// Returns the time that the chosen server needs for the request's own prompt.
Duration AdmissionPolicy::ownPrefillTime(const AdmissionInput &input) const
{
    return Duration(static_cast<std::int64_t>(static_cast<double>(input.serverChoice.prefillTokens)
                                              / m_settings.prefillTokensPerMs * 1000));
}

// Returns whether more urgent requests lately arrived that this one would delay noticeably. Engines
// process prompts in the order of arrival, so that what is queued at one delays all that come
// later.
bool AdmissionPolicy::delaysMoreUrgent(const AdmissionInput &input) const
{
    return input.urgentObjective
        && ownPrefillTime(input) > scaled(*input.urgentObjective, m_settings.urgentHeadroom);
}

bool AdmissionPolicy::isDeferrable(const AdmissionInput &input) const
{
    return input.urgentObjective
        && Duration(input.route->latencyObjective)
        >= scaled(*input.urgentObjective, m_settings.deferrableToUrgentObjective);
}

// A deferrable request waits here until it delays more urgent ones by little or its own time is
// used up. Then it is sent like any other request, so that it isn't starved.
bool AdmissionPolicy::mustYield(const AdmissionInput &input) const
{
    if (!isDeferrable(input))
        return false;
    const Duration total = input.waited + input.timeLeft;
    if (input.waited >= scaled(total, m_settings.maxYieldShareOfTimeout))
        return false;
    const bool isShort
        = input.areMoreUrgentRefused || input.utilization.value_or(0) >= m_settings.highUtilization;
    if (isShort && delaysMoreUrgent(input))
        return true;
    const ServerChoice &choice = input.serverChoice;
    const Duration slack = input.route->latencyObjective - choice.expectedTimeToFirstByte;
    if (input.waited >= slack)
        return false;
    if (input.freeSlotShare && *input.freeSlotShare < m_settings.reservedSlotShare)
        return true;
    if (!delaysMoreUrgent(input))
        return false;
    const Duration ownPrefill = ownPrefillTime(input);
    const Duration queued = choice.expectedTimeToFirstByte - ownPrefill;
    const Duration reserve = std::max(
        scaled(*input.urgentObjective, m_settings.minDeferrableShareOfObjective),
        scaled(*input.urgentObjective, m_settings.deferrableShareOfObjective) - ownPrefill);
    const double used
        = static_cast<double>(input.waited.count()) / static_cast<double>(slack.count());
    return queued > reserve + scaled(*input.urgentObjective - reserve, used);
}

// Returns the latest time of the first byte, since the arrival, at which a request is sent. A late
// response has less value, and where the demand exceeds the capacity it makes all later ones late,
// too. There a request is therefore sent only if it is in time. One that can't be deferred must
// also leave the more urgent ones in time. A request that has waited is sent as long as its caller
// stays, since a refusal would cost the caller most.
Duration AdmissionPolicy::maxFirstByteTime(const AdmissionInput &input) const
{
    const Duration objective = input.route->latencyObjective;
    const Duration usual = scaled(objective, m_settings.maxFirstByteToObjective);
    if (!input.utilization)
        return usual;
    if (input.waited > scaled(objective, m_settings.cheapWaitShareOfObjective))
        return input.waited + timeForFirstByte(input);
    if (*input.utilization < m_settings.highUtilization)
        return usual;
    // An account with more than its share of the work makes room for the others first.
    const double share = 1 - m_settings.maxAccountHeadroom * std::min(1.0, input.accountExcess);
    const Duration strict = delaysMoreUrgent(input) && !isDeferrable(input)
        ? std::min(objective, scaled(*input.urgentObjective, 1 - m_settings.urgentHeadroom))
        : objective;
    // A prompt that no server can process that fast must not be refused for ever.
    const Duration least = scaled(ownPrefillTime(input), m_settings.minFirstByteToOwnPrefill);
    for (const Duration bound : {scaled(strict, share), objective}) {
        if (bound >= least)
            return bound;
    }
    return usual;
}

} // namespace quetzalyoke
