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

} // namespace

Duration AdmissionPolicy::boundedRetryAfter(Duration delay, const AdmissionInput &input,
                                            double spread) const
{
    const Duration spreadDelay = scaled(delay, 1 + spread / 2);
    const Duration maxDelay = scaled(input.timeLeft, m_settings.maxRetryAfterShare);
    return std::max(m_settings.minRetryAfter, std::min(spreadDelay, maxDelay));
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
    if (input.waited < std::min(maxWait, input.timeLeft)) {
        decision.action = AdmissionDecision::Action::Wait;
        return decision;
    }
    decision.action = AdmissionDecision::Action::Refuse;
    decision.retryAfter = boundedRetryAfter(retryAfter, input, spread);
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
            decision.retryAfter = boundedRetryAfter(expectedServerRestart, input, spread);
            return decision;
        }
        const Duration loadTime = input.serverChoice.isModelStoredLocally
            ? model->second.localLoadTime + localLoadPreparation
            : Duration(model->second.weightStoreLoadTime);
        return waitOrRefuse(input, scaled(objective, m_settings.serverWaitShareOfObjective),
                            loadTime, spread);
    }
    case ServerChoice::Outcome::NoAdapter:
        return waitOrRefuse(
            input, maxWaitTime(input, scaled(objective, m_settings.adapterWaitShareOfObjective)),
            objective, spread);
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
            decision.retryAfter
                = std::max(m_settings.minRetryAfter,
                           scaled(input.serverChoice.timeUntilResume, 1 + spread / 2));
        return decision;
    }
    case ServerChoice::Outcome::AllFull:
        return waitOrRefuse(
            input, maxWaitTime(input, scaled(objective, m_settings.serverWaitShareOfObjective)),
            objective, spread);
    }
    AdmissionDecision decision;
    const Duration firstByteAt = input.waited + input.serverChoice.expectedTimeToFirstByte;
    if (input.serverChoice.expectedTimeToFirstByte >= input.timeLeft
        || firstByteAt > scaled(objective, m_settings.maxFirstByteToObjective)) {
        decision.reason = "too_late";
        decision.retryAfter
            = boundedRetryAfter(input.serverChoice.expectedTimeToFirstByte, input, spread);
        return decision;
    }
    decision.action = AdmissionDecision::Action::Send;
    decision.reason = "sent";
    return decision;
}

} // namespace quetzalyoke
