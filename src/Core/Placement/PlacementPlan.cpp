#include "Core/Placement/PlacementPlan.h"

#include "Core/Error.h"
#include "Core/JsonText.h"

#include <nlohmann/json.hpp>

namespace quetzalyoke {

namespace {

using Json = nlohmann::json;

constexpr std::uint64_t fnvOffset = 14'695'981'039'346'656'037ULL;
constexpr std::uint64_t fnvPrime = 1'099'511'628'211ULL;

} // namespace

std::vector<HostedModel> PlacementPlan::modelsOn(const ServerName &server,
                                                 const ServiceList &list) const
{
    std::vector<HostedModel> hostedModels;
    std::vector<HostedModel> adapters;
    for (const auto &[name, replicas] : models) {
        const auto replica = replicas.find(server);
        const auto model = list.models.find(name);
        if (replica == replicas.end() || model == list.models.end())
            continue;
        hostedModels.push_back({name.text(), replica->second, model->second.memory, false, false});
    }
    for (const auto &[name, adapter] : list.adapters) {
        const auto base = models.find(adapter.base);
        if (base != models.end() && base->second.contains(server))
            adapters.push_back({name.text(), adapter.version, adapter.memory, true, false});
    }
    hostedModels.insert(hostedModels.end(), adapters.begin(), adapters.end());
    return hostedModels;
}

std::string PlanRow::rowKey(std::size_t shard)
{
    return rowKeyPrefix + std::to_string(shard);
}

// Uses FNV-1a, because std::hash may differ between builds.
std::size_t PlanRow::shardOf(const ModelName &model, std::size_t shards)
{
    std::uint64_t hash = fnvOffset;
    for (const char c : model.text())
        hash = (hash ^ static_cast<unsigned char>(c)) * fnvPrime;
    return hash % shards;
}

std::string PlanRow::toJson() const
{
    Json models = Json::object();
    for (const auto &[name, replicas] : plan.models) {
        Json &json = models[name.text()] = Json::object();
        for (const auto &[server, version] : replicas)
            json[server.text()] = version;
    }
    return dumpJson(Json{{"configuration", configurationVersion.count()}, {"models", models}});
}

PlanRow PlanRow::fromJson(const std::string &json)
{
    const Json body = Json::parse(json, nullptr, false);
    if (!body.is_object())
        throw Error(ErrorKind::MalformedData, "a plan row is not a JSON object; delete the row");
    PlanRow row;
    row.configurationVersion = Version(body.at("configuration"));
    for (const auto &[name, replicas] : body.at("models").items()) {
        PlacementPlan::Replicas &rowReplicas = row.plan.models[ModelName(name)];
        for (const auto &[server, version] : replicas.items())
            rowReplicas[ServerName(server)] = version.get<std::string>();
    }
    return row;
}

} // namespace quetzalyoke
