#include "Core/Placement/MinimumPlacement.h"

#include <algorithm>

namespace quetzalyoke {

namespace {

// A model and its adapters, which are placed on the same server.
struct Bundle
{
    const ModelEntry *model = nullptr;
    std::vector<const AdapterEntry *> adapters;
    Megabytes memory;
};

std::vector<Bundle> bundlesBySize(const ServiceList &list)
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

void appendModels(const Bundle &bundle, std::vector<PlannedModel> &plannedModels)
{
    plannedModels.push_back(
        {bundle.model->name.text(), bundle.model->version, bundle.model->memory, false});
    for (const AdapterEntry *it : bundle.adapters)
        plannedModels.push_back({it->name.text(), it->version, it->memory, true});
}

} // namespace

MinimumPlacement MinimumPlacement::compute(const ServiceList &list)
{
    MinimumPlacement placement;
    std::map<ServerName, Megabytes> freeMemory;
    for (const auto &[name, server] : list.servers) {
        if (server.kind == ServerKind::Engine)
            freeMemory[name] = server.memory;
    }
    // Places the largest first, each on the server with the most free memory, to balance the load.
    for (const Bundle &it : bundlesBySize(list)) {
        const auto best
            = std::max_element(freeMemory.begin(), freeMemory.end(),
                               [](const auto &a, const auto &b) { return a.second < b.second; });
        if (best == freeMemory.end() || best->second < it.memory) {
            placement.unplaced.push_back(it.model->name);
            continue;
        }
        best->second -= it.memory;
        appendModels(it, placement.modelsByServer[best->first]);
    }
    return placement;
}

} // namespace quetzalyoke
