#include "Serving/Placement/CopyPlanner.h"

#include <tuple>

namespace quetzalyoke {

namespace {

double valueOr(const CopyPlanner::Demand &demand, const ModelName &model)
{
    const auto it = demand.find(model);
    return it == demand.end() ? 0 : it->second;
}

} // namespace

std::map<ModelName, CopyPlanner::Counts> CopyPlanner::count(const Input &input) const
{
    std::map<ModelName, Counts> counts;
    for (const auto &[model, entry] : input.spec.models)
        counts[model];
    for (const auto &[id, book] : input.books) {
        if (book.listed().isLeaving)
            continue;
        for (const auto &[model, adapters] : book.holdings()) {
            const auto n = counts.find(model);
            if (n != counts.end() && !book.isUnloading(model))
                ++n->second.held;
        }
        const auto loading = book.loadingModel();
        const auto n = loading ? counts.find(*loading) : counts.end();
        if (n != counts.end() && !book.holds(*loading, {}))
            ++n->second.loading;
    }
    for (const auto &[server, model] : input.planned) {
        const auto n = counts.find(model);
        if (n != counts.end())
            ++n->second.loading;
    }
    return counts;
}

std::optional<CopyChange> CopyPlanner::next(const Input &input) const
{
    const auto counts = count(input);
    // Models without a copy first, the most wanted one at the head.
    const ModelName *missing = nullptr;
    for (const ModelName &model : input.missing) {
        const auto n = counts.find(model);
        if (n == counts.end() || n->second.all() > 0)
            continue;
        if (!missing || valueOr(input.demand, model) > valueOr(input.demand, *missing))
            missing = &model;
    }
    if (missing) {
        const double asked = valueOr(input.demand, *missing);
        const double mostOfLastCopy
            = input.wanted.count(*missing) > 0 ? asked * m_settings.lastCopyShare : 0;
        if (const auto change
            = place(*missing, std::max(asked, 1.0), mostOfLastCopy, input, counts))
            return change;
    }
    const ModelName *busiest = nullptr;
    double most = m_settings.busyShare;
    for (const auto &[model, n] : counts) {
        if (n.held == 0)
            continue;
        const double work = valueOr(input.demand, model) / n.all();
        if (work <= most)
            continue;
        busiest = &model;
        most = work;
    }
    if (!busiest)
        return {};
    const double mostOfLastCopy = most >= m_settings.pressingShare ? m_settings.idleShare : 0;
    return place(*busiest, most, mostOfLastCopy, input, counts);
}

// A last copy goes only where its model's work is below mostOfLastCopy.
std::optional<CopyChange> CopyPlanner::place(const ModelName &model, double work,
                                             double mostOfLastCopy, const Input &input,
                                             const std::map<ModelName, Counts> &counts) const
{
    std::optional<CopyChange> best;
    // Other models' last copies stay if they can; weights at hand go before room, room before the
    // work that the engine has already.
    using Cost = std::tuple<bool, bool, bool, double>;
    Cost bestCost;
    const auto offer
        = [&](const CopyChange &change, bool takesLastCopy, bool isFetch, double workThere) {
              const Cost cost(takesLastCopy, isFetch, !change.unload.isEmpty(), workThere);
              if (best && cost >= bestCost)
                  return;
              best = change;
              bestCost = cost;
          };
    for (const auto &[id, book] : input.books) {
        if (book.listed().isLeaving || !book.isFree(input.now) || book.holds(model, {})
            || input.planned.count(id) > 0)
            continue;
        const bool isFetch = !book.isAtHand(model);
        if (isFetch && !input.mayFetch)
            continue;
        double engineWork = 0;
        for (const auto &[held, adapters] : book.holdings()) {
            const auto n = counts.find(held);
            if (n != counts.end() && n->second.held > 0)
                engineWork += valueOr(input.demand, held) / n->second.held;
        }
        if (book.fits(model, {})) {
            offer({id, model, {}}, false, isFetch, engineWork);
            continue;
        }
        for (const auto &[held, adapters] : book.holdings()) {
            const auto n = counts.find(held);
            const bool isKnown = n != counts.end();
            if (isKnown && n->second.held < 2) {
                const double lost = valueOr(input.demand, held);
                if (lost < mostOfLastCopy && book.isAtHand(held))
                    offer({id, model, held}, true, isFetch, lost + engineWork);
                continue;
            }
            const double left = isKnown ? valueOr(input.demand, held) / (n->second.held - 1) : 0;
            if (left > work * m_settings.victimShare)
                continue;
            offer({id, model, held}, false, isFetch, left + engineWork);
        }
    }
    return best;
}

} // namespace quetzalyoke
