#ifndef QUETZALYOKE_CORE_PLACEMENT_PLACEMENTPLAN_H
#define QUETZALYOKE_CORE_PLACEMENT_PLACEMENTPLAN_H

#include "Core/Configuration/ServiceList.h"
#include "Core/Placement/EngineOrder.h"

#include <map>
#include <string>
#include <vector>

namespace quetzalyoke {

/// \brief Which servers hold which model, each copy with its version; adapters go with their base.
struct PlacementPlan
{
    /// Copies of one model: version by server.
    using Replicas = std::map<ServerName, std::string>;

    std::map<ModelName, Replicas> models;

    bool operator==(const PlacementPlan &) const = default;

    /// What \a server should hold, each base before its adapters.
    std::vector<HostedModel> modelsOn(const ServerName &server, const ServiceList &list) const;
};

/// \brief One row of the plan in the table: the models of one shard.
struct PlanRow
{
    static constexpr const char *rowKeyPrefix = "plan/";
    static std::string rowKey(std::size_t shard);
    /// Shard of \a model; the same in every process.
    static std::size_t shardOf(const ModelName &model, std::size_t shards);

    Version configurationVersion; ///< Of the service list that the plan was made for.
    PlacementPlan plan;

    std::string toJson() const;
    /// Throws Error (MalformedData).
    static PlanRow fromJson(const std::string &json);
};

} // namespace quetzalyoke

#endif
