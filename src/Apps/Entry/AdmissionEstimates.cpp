#include "Apps/Entry/AdmissionEstimates.h"

namespace quetzalyoke {

void addAdmissionEstimates(EntryState &state, const RequestUrgency &urgency,
                           const ServerChoiceInput &request, bool isWaiting, AdmissionInput &input,
                           Instant now)
{
    const ServerChoice &choice = input.serverChoice;
    RetryAfterEstimator &estimator = state.retryAfterEstimator;
    estimator.recordChoice(request, choice, isWaiting ? input.waited : Duration::zero(),
                           state.servers, state.gatewayCount(), now);
    const std::size_t ahead = state.waitQueue.countBefore(urgency, now);
    input.timeUntilRoom = estimator.timeUntilRoom(request, choice, ahead, now);

    const RecentUrgencies &recent = state.recentUrgencies;
    input.urgentObjective = recent.moreUrgentObjective(urgency, now);
    input.areMoreUrgentRefused = recent.areMoreUrgentRefused(urgency, now);
    input.accountExcess = recent.excessInShortage(urgency, state.waitQueue.accountWork, now);

    const ServerState *server = state.servers.find(choice.server);
    if (!server || !request.service->engine)
        return;
    input.freeSlotShare
        = 1 - static_cast<double>(server->totalWork().requestsInFlight) / server->listed.slots;
    input.utilization
        = expectedUtilization(*server, state.servers, state.settings.prefillTokensPerMs,
                              [&state, now](const ModelName &model) {
                                  return state.replicaController.promptTokensPerSecond(model, now);
                              });
}

} // namespace quetzalyoke
