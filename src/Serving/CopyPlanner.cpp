#include "Serving/CopyPlanner.h"

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
            if (n != counts.end())
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
        const double work = std::max(valueOr(input.demand, *missing), 1.0);
        if (const auto change = place(*missing, work, input, counts))
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
    return place(*busiest, most, input, counts);
}

std::optional<CopyChange> CopyPlanner::place(const ModelName &model, double work,
                                             const Input &input,
                                             const std::map<ModelName, Counts> &counts) const
{
    std::optional<CopyChange> best;
    double bestCost = 0;
    for (const auto &[id, book] : input.books) {
        if (book.listed().isLeaving || !book.isFree(input.now) || book.holds(model, {})
            || input.planned.count(id) > 0)
            continue;
        // Work that the engine has already.
        double engineWork = 0;
        for (const auto &[held, adapters] : book.holdings()) {
            const auto n = counts.find(held);
            if (n != counts.end() && n->second.held > 0)
                engineWork += valueOr(input.demand, held) / n->second.held;
        }
        if (book.fits(model, {})) {
            if (!best || !best->unload.isEmpty() || engineWork < bestCost) {
                best = CopyChange{id, model, {}};
                bestCost = engineWork;
            }
            continue;
        }
        if (best && best->unload.isEmpty())
            continue;
        for (const auto &[held, adapters] : book.holdings()) {
            const auto n = counts.find(held);
            const bool isKnown = n != counts.end();
            if (isKnown && n->second.held < 2)
                continue;
            const double left = isKnown ? valueOr(input.demand, held) / (n->second.held - 1) : 0;
            if (left > work * m_settings.victimShare)
                continue;
            const double cost = left + engineWork;
            if (best && cost >= bestCost)
                continue;
            best = CopyChange{id, model, held};
            bestCost = cost;
        }
    }
    return best;
}

} // namespace quetzalyoke
