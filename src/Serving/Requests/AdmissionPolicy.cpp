#include "Serving/Requests/AdmissionPolicy.h"

#include <algorithm>

namespace quetzalyoke {

namespace {

// A service without a usable server usually gets one back within a restart.
constexpr Duration serverReturn = std::chrono::milliseconds(600);

// Before a load that takes no longer: the order, and an unload where the engine is full.
constexpr Duration makingRoom = std::chrono::milliseconds(400);

} // namespace

Duration AdmissionPolicy::boundedRetryAfter(Duration wanted, const AdmissionInput &input,
                                            double spread) const
{
    const Duration spaced = scaled(wanted, 1 + spread / 2);
    const Duration longest = scaled(input.timeLeft, m_settings.maxRetryAfterShare);
    return std::max(m_settings.minRetryAfter, std::min(spaced, longest));
}

Duration AdmissionPolicy::maxWaitTime(const AdmissionInput &input, Duration atLeast) const
{
    const Duration share = scaled(input.waited + input.timeLeft, m_settings.waitShareOfTimeout);
    return std::max(atLeast, std::min(share, m_settings.maxTimeoutShareWait));
}

AdmissionDecision AdmissionPolicy::waitOrRefuse(const AdmissionInput &input, Duration patience,
                                                Duration retryAfter, double spread) const
{
    AdmissionDecision decision;
    decision.reason = serverChoiceOutcomeText(input.serverChoice.outcome);
    if (input.waited < std::min(patience, input.timeLeft)) {
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
                            serverReturn, spread);
    case ServerChoice::Outcome::NoModel: {
        const auto model = input.service->engine->models.find(input.metadata->model);
        if (model == input.service->engine->models.end()) {
            AdmissionDecision decision;
            decision.reason = "unknown_model";
            decision.retryAfter = boundedRetryAfter(serverReturn, input, spread);
            return decision;
        }
        const Duration load = input.serverChoice.isModelStoredLocally
            ? model->second.localLoadTime + makingRoom
            : Duration(model->second.weightStoreLoadTime);
        return waitOrRefuse(input, scaled(objective, m_settings.serverWaitShareOfObjective), load,
                            spread);
    }
    case ServerChoice::Outcome::NoAdapter:
        return waitOrRefuse(
            input, maxWaitTime(input, scaled(objective, m_settings.adapterWaitShareOfObjective)),
            objective, spread);
    case ServerChoice::Outcome::AllPaused: {
        // Worth waiting for if the server is back while the answer can still be in time.
        const Duration patience = scaled(objective, m_settings.serverWaitShareOfObjective);
        const bool isBackSoon = input.waited + input.serverChoice.timeUntilResume <= patience;
        AdmissionDecision decision = waitOrRefuse(input, isBackSoon ? patience : Duration::zero(),
                                                  input.serverChoice.timeUntilResume, spread);
        // However long it is: nothing else could take the request sooner.
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
    const Duration firstAt = input.waited + input.serverChoice.expectedTimeToFirstByte;
    if (input.serverChoice.expectedTimeToFirstByte >= input.timeLeft
        || firstAt > scaled(objective, m_settings.maxFirstByteToObjective)) {
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
