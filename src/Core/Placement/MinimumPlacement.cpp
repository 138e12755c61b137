#include "Core/Placement/MinimumPlacement.h"

#include <algorithm>

namespace quetzalyoke {

namespace {

// A model with its adapters, which are placed together.
struct Bundle
{
    const ModelEntry *model = nullptr;
    std::vector<const AdapterEntry *> adapters;
    Megabytes memory;
};

std::vector<Bundle> bundlesOf(const ServiceList &list)
{
    std::map<ModelName, Bundle> bundles;
    for (const auto &[name, model] : list.models) {
        bundles[name].model = &model;
        bundles[name].memory = model.memory;
    }
    for (const auto &[name, adapter] : list.adapters) {
        const auto it = bundles.find(adapter.base);
        if (it == bundles.end())
            continue;
        it->second.adapters.push_back(&adapter);
        it->second.memory += adapter.memory;
    }
    std::vector<Bundle> sorted;
    for (const auto &[name, bundle] : bundles)
        sorted.push_back(bundle);
    std::stable_sort(sorted.begin(), sorted.end(),
                     [](const auto &a, const auto &b) { return a.memory > b.memory; });
    return sorted;
}

void place(const Bundle &bundle, std::vector<PlannedModel> &holdings)
{
    holdings.push_back(
        {bundle.model->name.text(), bundle.model->version, bundle.model->memory, false});
    for (const AdapterEntry *it : bundle.adapters)
        holdings.push_back({it->name.text(), it->version, it->memory, true});
}

} // namespace

MinimumPlacement MinimumPlacement::compute(const ServiceList &list)
{
    MinimumPlacement plan;
    std::map<ServerName, Megabytes> room;
    for (const auto &[name, server] : list.servers) {
        if (server.kind == ServerKind::Engine)
            room[name] = server.memory;
    }
    // Largest first, each onto the server with the most room left, which spreads them evenly.
    for (const Bundle &it : bundlesOf(list)) {
        const auto most
            = std::max_element(room.begin(), room.end(),
                               [](const auto &a, const auto &b) { return a.second < b.second; });
        if (most == room.end() || most->second < it.memory) {
            plan.unplaced.push_back(it.model->name);
            continue;
        }
        most->second -= it.memory;
        place(it, plan.modelsByServer[most->first]);
    }
    return plan;
}

} // namespace quetzalyoke
