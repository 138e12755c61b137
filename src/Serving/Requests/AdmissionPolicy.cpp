#include "Serving/Requests/AdmissionPolicy.h"

#include <algorithm>

namespace quetzalyoke {

namespace {

// A service without a usable server usually gets one back within a restart.
constexpr Duration serverReturn = std::chrono::milliseconds(600);

// Before a load that takes no longer: the order, and an unload where the engine is full.
constexpr Duration makingRoom = std::chrono::milliseconds(400);

} // namespace

Duration AdmissionPolicy::returnAfter(Duration wanted, const AdmissionInput &input,
                                      double spread) const
{
    const Duration spaced = scaled(wanted, 1 + spread / 2);
    const Duration longest = scaled(input.left, m_settings.longestReturn);
    return std::max(m_settings.shortestReturn, std::min(spaced, longest));
}

Duration AdmissionPolicy::holdTime(const AdmissionInput &input, Duration atLeast) const
{
    const Duration share = scaled(input.waited + input.left, m_settings.holdShare);
    return std::max(atLeast, std::min(share, m_settings.longestHold));
}

AdmissionDecision AdmissionPolicy::waitOrRefuse(const AdmissionInput &input, Duration patience,
                                                Duration retryAfter, double spread) const
{
    AdmissionDecision decision;
    decision.reason = outcomeText(input.choice.outcome);
    if (input.waited < std::min(patience, input.left)) {
        decision.step = AdmissionDecision::Step::Wait;
        return decision;
    }
    decision.step = AdmissionDecision::Step::Refuse;
    decision.retryAfter = returnAfter(retryAfter, input, spread);
    return decision;
}

AdmissionDecision AdmissionPolicy::decide(const AdmissionInput &input, double spread) const
{
    const Duration objective = input.route->latencyObjective;
    switch (input.choice.outcome) {
    case PlacementChoice::Outcome::Chosen:
        break;
    case PlacementChoice::Outcome::NoServer:
        return waitOrRefuse(input, scaled(objective, m_settings.slotPatience), serverReturn,
                            spread);
    case PlacementChoice::Outcome::NoModel: {
        const auto model = input.service->engine->models.find(input.call->model);
        if (model == input.service->engine->models.end()) {
            AdmissionDecision decision;
            decision.reason = "unknown_model";
            decision.retryAfter = returnAfter(serverReturn, input, spread);
            return decision;
        }
        const Duration load = input.choice.isAtHand ? model->second.atHandLoadTime + makingRoom
                                                    : Duration(model->second.loadTime);
        return waitOrRefuse(input, scaled(objective, m_settings.slotPatience), load, spread);
    }
    case PlacementChoice::Outcome::NoAdapter:
        return waitOrRefuse(input, holdTime(input, scaled(objective, m_settings.adapterPatience)),
                            objective, spread);
    case PlacementChoice::Outcome::Paused: {
        // Worth waiting for if the server is back while the answer can still be in time.
        const Duration patience = scaled(objective, m_settings.slotPatience);
        const bool isBackSoon = input.waited + input.choice.pause <= patience;
        AdmissionDecision decision = waitOrRefuse(input, isBackSoon ? patience : Duration::zero(),
                                                  input.choice.pause, spread);
        // However long it is: nothing else could take the request sooner.
        if (decision.step == AdmissionDecision::Step::Refuse)
            decision.retryAfter
                = std::max(m_settings.shortestReturn, scaled(input.choice.pause, 1 + spread / 2));
        return decision;
    }
    case PlacementChoice::Outcome::Full:
        return waitOrRefuse(input, holdTime(input, scaled(objective, m_settings.slotPatience)),
                            objective, spread);
    }
    AdmissionDecision decision;
    const Duration firstAt = input.waited + input.choice.expectedFirst;
    if (input.choice.expectedFirst >= input.left
        || firstAt > scaled(objective, m_settings.latest)) {
        decision.reason = "too_late";
        decision.retryAfter = returnAfter(input.choice.expectedFirst, input, spread);
        return decision;
    }
    decision.step = AdmissionDecision::Step::Send;
    decision.reason = "sent";
    return decision;
}

} // namespace quetzalyoke
