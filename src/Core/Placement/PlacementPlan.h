#ifndef QUETZALYOKE_CORE_PLACEMENT_PLACEMENTPLAN_H
#define QUETZALYOKE_CORE_PLACEMENT_PLACEMENTPLAN_H

#include "Core/Configuration/ServiceList.h"
#include "Core/Placement/EngineOrder.h"

#include <map>
#include <string>
#include <vector>

namespace quetzalyoke {

/// \brief The servers that should have each model loaded, and the version of each replica. Adapters
/// are on every server of their base model.
struct PlacementPlan
{
    /// Replicas of one model: the version by server.
    using Replicas = std::map<ServerName, std::string>;

    std::map<ModelName, Replicas> models;

    bool operator==(const PlacementPlan &) const = default;

    /// Returns what \a server should have loaded, base models before adapters.
    std::vector<HostedModel> modelsOn(const ServerName &server, const ServiceList &list) const;
};

/// \brief A stored row of the plan: the models of one shard.
struct PlanRow
{
    static constexpr const char *rowKeyPrefix = "plan/";
    static std::string rowKey(std::size_t shard);
    /// Returns the shard of \a model out of \a shards; the same in every process.
    static std::size_t shardOf(const ModelName &model, std::size_t shards);

    Version configurationVersion; ///< Version of the service list that the plan is based on.
    PlacementPlan plan;

    std::string toJson() const;
    /// Throws Error (MalformedData) if \a json is not a JSON object.
    static PlanRow fromJson(const std::string &json);
};

} // namespace quetzalyoke

#endif
