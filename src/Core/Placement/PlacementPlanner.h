#ifndef QUETZALYOKE_CORE_PLACEMENT_PLACEMENTPLANNER_H
#define QUETZALYOKE_CORE_PLACEMENT_PLACEMENTPLANNER_H

#include "Core/Placement/PlacementPlan.h"

#include <cstddef>
#include <functional>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace quetzalyoke {

/// \brief The state of an engine that the planner depends on.
struct PlacementServer
{
    ZoneName zone;
    Megabytes memory;
    bool isUsable = false; ///< Reported recently and is not leaving.
    std::map<std::string, std::string> readyVersions; ///< Version of each model that is ready.
};

/// \brief The input of PlacementPlanner.
struct PlacementInput
{
    const ServiceList *list = nullptr;
    std::map<ServerName, PlacementServer> servers;
    std::map<ModelName, std::size_t> wantedReplicas; ///< Only models that need more than one.
    std::size_t maxLoadsInFlight = 0; ///< No replica is added while this many are unready.
};

/// \brief Changes a plan by one step towards the wanted replicas and versions. Does no I/O.
///
/// A replica stays on its server unless there is a reason to move it. Every model gets a replica on
/// a usable server if one has enough memory. A replica is removed only if another one of the model
/// is ready, or if there is not enough memory to load the other one first.
class PlacementPlanner
{
public:
    explicit PlacementPlanner(const PlacementInput &input);

    /// Returns the next plan after \a previous, or \a previous itself if nothing has to change.
    PlacementPlan nextPlan(const PlacementPlan &previous);
    /// Returns the models that have no replica on a usable server in the last plan.
    const std::vector<ModelName> &unplaced() const { return m_unplaced; }

private:
    using Replicas = PlacementPlan::Replicas;
    using ReplicaFilter
        = std::function<bool(const ModelName &, const std::pair<const ServerName, std::string> &)>;

    void computeModelMemory();
    void removeUnusableReplicas();
    void removeFromOverfullServers();
    void updateVersion(const ModelEntry &model);
    Replicas::iterator findOutdatedReplica(const ModelEntry &model, Replicas &replicas) const;
    void placeFirstReplica(const ModelEntry &model);
    void adjustReplicaCount(const ModelEntry &model);
    bool evictSpareReplicasFor(const ModelEntry &model);
    bool mayGetEnoughMemory(const ModelEntry &model) const;
    std::map<ServerName, std::vector<ModelName>> spareReplicas(const ReplicaFilter &accepts) const;
    Megabytes freeMemoryWithout(const std::vector<ModelName> &names,
                                const ServerName &server) const;
    bool isDispensable(const ModelName &model, const ServerName &server,
                       const std::string &version) const;

    bool hasReplica(const ModelName &model, const ServerName &server) const;
    bool isReady(const ModelName &model, const ServerName &server,
                 const std::string &version) const;
    std::size_t readyReplicaCount(const ModelName &model) const;
    std::size_t targetReplicaCount(const ModelName &model) const;
    std::size_t unreadyReplicaCount() const;
    /// Returns the best server for one more replica, or null if none has enough memory.
    const ServerName *findServer(const ModelEntry &model) const;
    void addReplica(const ModelEntry &model, const ServerName &server);
    void removeReplica(const ModelName &model, const ServerName &server);
    void adjustFreeMemory(const ServerName &server, Megabytes change);

    const PlacementInput &m_input;
    std::map<ModelName, Megabytes> m_modelMemory; // model and its adapters together
    std::map<ServerName, Megabytes> m_freeMemory; // by usable server
    // The same values, sorted within each zone.
    std::map<ZoneName, std::set<std::pair<Megabytes, ServerName>>> m_serversByFreeMemory;
    PlacementPlan m_plan;
    std::vector<ModelName> m_unplaced;
    std::size_t m_unreadyReplicas = 0;
};

} // namespace quetzalyoke

#endif
