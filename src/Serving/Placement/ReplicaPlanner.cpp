#include "Serving/Placement/ReplicaPlanner.h"

#include <tuple>

namespace quetzalyoke {

namespace {

double demandOf(const ReplicaPlanner::DemandByModel &demand, const ModelName &model)
{
    const auto it = demand.find(model);
    return it == demand.end() ? 0 : it->second;
}

} // namespace

std::map<ModelName, ReplicaPlanner::ReplicaCounts>
ReplicaPlanner::countReplicas(const Input &input) const
{
    std::map<ModelName, ReplicaCounts> counts;
    for (const auto &[model, entry] : input.spec.models)
        counts[model];
    for (const auto &[id, engine] : input.engines) {
        if (!engine.servesDemand(input.now))
            continue;
        for (const auto &[model, adapters] : engine.loadedModels()) {
            const auto n = counts.find(model);
            if (n != counts.end() && !engine.isUnloading(model))
                ++n->second.loaded;
        }
        const auto loading = engine.loadingModel();
        const auto n = loading ? counts.find(*loading) : counts.end();
        if (n != counts.end() && !engine.hasLoaded(*loading, {}))
            ++n->second.loading;
    }
    for (const auto &[server, model] : input.pendingLoads) {
        const auto n = counts.find(model);
        if (n != counts.end())
            ++n->second.loading;
    }
    return counts;
}

std::optional<ReplicaChange> ReplicaPlanner::planNextChange(const Input &input) const
{
    const auto counts = countReplicas(input);
    // Models without a replica come first, the one with the highest demand before the others.
    const ModelName *missing = nullptr;
    for (const ModelName &model : input.modelsWithoutReplica) {
        const auto n = counts.find(model);
        if (n == counts.end() || n->second.total() > 0)
            continue;
        if (!missing || demandOf(input.demand, model) > demandOf(input.demand, *missing))
            missing = &model;
    }
    if (missing) {
        const double missingDemand = demandOf(input.demand, *missing);
        const double lastReplicaDemandLimit = input.modelsWithWaitingRequests.count(*missing) > 0
            ? missingDemand * m_settings.lastReplicaDemandRatio
            : 0;
        if (const auto change = planLoad(*missing, std::max(missingDemand, 1.0),
                                         lastReplicaDemandLimit, input, counts))
            return change;
    }
    const ModelName *busiest = nullptr;
    double highestDemand = m_settings.scaleUpUtilization;
    for (const auto &[model, n] : counts) {
        if (n.loaded == 0)
            continue;
        const double demandPerReplica = demandOf(input.demand, model) / n.total();
        if (demandPerReplica <= highestDemand)
            continue;
        busiest = &model;
        highestDemand = demandPerReplica;
    }
    if (!busiest)
        return {};
    const double lastReplicaDemandLimit = highestDemand >= m_settings.lastReplicaEvictionUtilization
        ? m_settings.idleUtilization
        : 0;
    return planLoad(*busiest, highestDemand, lastReplicaDemandLimit, input, counts);
}

// Unloads the last replica of a model only if its demand is below lastReplicaDemandLimit.
std::optional<ReplicaChange>
ReplicaPlanner::planLoad(const ModelName &model, double demandPerReplica,
                         double lastReplicaDemandLimit, const Input &input,
                         const std::map<ModelName, ReplicaCounts> &counts) const
{
    std::optional<ReplicaChange> best;
    // Preferred in this order: a change that keeps the last replicas of other models, a model
    // stored locally, an engine with free memory, and the engine with the lowest demand.
    using Cost = std::tuple<bool, bool, bool, double>;
    Cost bestCost;
    const auto considerChange = [&](const ReplicaChange &change, bool takesLastReplica,
                                    bool isFetch, double serverDemand) {
        const Cost cost(takesLastReplica, isFetch, !change.modelToUnload.isEmpty(), serverDemand);
        if (best && cost >= bestCost)
            return;
        best = change;
        bestCost = cost;
    };
    for (const auto &[id, engine] : input.engines) {
        if (!engine.servesDemand(input.now) || !engine.isReadyForOrder(input.now)
            || engine.hasLoaded(model, {}) || input.pendingLoads.count(id) > 0)
            continue;
        const bool isFetch = !engine.isStoredLocally(model);
        if (isFetch && !input.mayUseWeightStore)
            continue;
        double engineDemand = 0;
        for (const auto &[loadedModel, adapters] : engine.loadedModels()) {
            const auto n = counts.find(loadedModel);
            if (n != counts.end() && n->second.loaded > 0)
                engineDemand += demandOf(input.demand, loadedModel) / n->second.loaded;
        }
        if (engine.hasRoomFor(model, {})) {
            considerChange({id, model, {}}, false, isFetch, engineDemand);
            continue;
        }
        for (const auto &[loadedModel, adapters] : engine.loadedModels()) {
            const auto n = counts.find(loadedModel);
            const bool isKnown = n != counts.end();
            if (isKnown && n->second.loaded < 2) {
                const double lostDemand = demandOf(input.demand, loadedModel);
                if (lostDemand < lastReplicaDemandLimit && engine.isStoredLocally(loadedModel))
                    considerChange({id, model, loadedModel}, true, isFetch,
                                   lostDemand + engineDemand);
                continue;
            }
            const double remainingDemand
                = isKnown ? demandOf(input.demand, loadedModel) / (n->second.loaded - 1) : 0;
            if (remainingDemand > demandPerReplica * m_settings.victimDemandRatio)
                continue;
            considerChange({id, model, loadedModel}, false, isFetch,
                           remainingDemand + engineDemand);
        }
    }
    return best;
}

} // namespace quetzalyoke
