#include "Serving/Placement/ReplicaPlanner.h"

#include <tuple>

namespace quetzalyoke {

namespace {

double valueOr(const ReplicaPlanner::DemandByModel &demand, const ModelName &model)
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
    for (const auto &[id, book] : input.engines) {
        if (book.listed().isLeaving)
            continue;
        for (const auto &[model, adapters] : book.loadedModels()) {
            const auto n = counts.find(model);
            if (n != counts.end() && !book.isUnloading(model))
                ++n->second.loaded;
        }
        const auto loading = book.loadingModel();
        const auto n = loading ? counts.find(*loading) : counts.end();
        if (n != counts.end() && !book.hasLoaded(*loading, {}))
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
    // Models without a copy first, the most wanted one at the head.
    const ModelName *missing = nullptr;
    for (const ModelName &model : input.modelsWithoutReplica) {
        const auto n = counts.find(model);
        if (n == counts.end() || n->second.total() > 0)
            continue;
        if (!missing || valueOr(input.demand, model) > valueOr(input.demand, *missing))
            missing = &model;
    }
    if (missing) {
        const double asked = valueOr(input.demand, *missing);
        const double mostOfLastReplica = input.modelsWithWaitingRequests.count(*missing) > 0
            ? asked * m_settings.lastReplicaDemandRatio
            : 0;
        if (const auto change
            = planLoad(*missing, std::max(asked, 1.0), mostOfLastReplica, input, counts))
            return change;
    }
    const ModelName *busiest = nullptr;
    double most = m_settings.scaleUpUtilization;
    for (const auto &[model, n] : counts) {
        if (n.loaded == 0)
            continue;
        const double work = valueOr(input.demand, model) / n.total();
        if (work <= most)
            continue;
        busiest = &model;
        most = work;
    }
    if (!busiest)
        return {};
    const double mostOfLastReplica
        = most >= m_settings.lastReplicaEvictionUtilization ? m_settings.idleUtilization : 0;
    return planLoad(*busiest, most, mostOfLastReplica, input, counts);
}

// A last copy goes only where its model's work is below mostOfLastCopy.
std::optional<ReplicaChange>
ReplicaPlanner::planLoad(const ModelName &model, double work, double mostOfLastReplica,
                         const Input &input, const std::map<ModelName, ReplicaCounts> &counts) const
{
    std::optional<ReplicaChange> best;
    // Other models' last copies stay if they can; weights at hand go before room, room before the
    // work that the engine has already.
    using Cost = std::tuple<bool, bool, bool, double>;
    Cost bestCost;
    const auto offer = [&](const ReplicaChange &change, bool takesLastReplica, bool isFetch,
                           double workThere) {
        const Cost cost(takesLastReplica, isFetch, !change.modelToUnload.isEmpty(), workThere);
        if (best && cost >= bestCost)
            return;
        best = change;
        bestCost = cost;
    };
    for (const auto &[id, book] : input.engines) {
        if (book.listed().isLeaving || !book.isReadyForOrder(input.now) || book.hasLoaded(model, {})
            || input.pendingLoads.count(id) > 0)
            continue;
        const bool isFetch = !book.isStoredLocally(model);
        if (isFetch && !input.mayUseWeightStore)
            continue;
        double engineWork = 0;
        for (const auto &[held, adapters] : book.loadedModels()) {
            const auto n = counts.find(held);
            if (n != counts.end() && n->second.loaded > 0)
                engineWork += valueOr(input.demand, held) / n->second.loaded;
        }
        if (book.hasRoomFor(model, {})) {
            offer({id, model, {}}, false, isFetch, engineWork);
            continue;
        }
        for (const auto &[held, adapters] : book.loadedModels()) {
            const auto n = counts.find(held);
            const bool isKnown = n != counts.end();
            if (isKnown && n->second.loaded < 2) {
                const double lost = valueOr(input.demand, held);
                if (lost < mostOfLastReplica && book.isStoredLocally(held))
                    offer({id, model, held}, true, isFetch, lost + engineWork);
                continue;
            }
            const double left = isKnown ? valueOr(input.demand, held) / (n->second.loaded - 1) : 0;
            if (left > work * m_settings.victimDemandRatio)
                continue;
            offer({id, model, held}, false, isFetch, left + engineWork);
        }
    }
    return best;
}

} // namespace quetzalyoke
