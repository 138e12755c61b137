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

/// \brief A model server as the planner sees it.
struct PlacementServer
{
    ZoneName zone;
    Megabytes memory;
    bool isUsable = false; ///< Heard of lately and not leaving.
    std::map<std::string, std::string> readyVersions; ///< Version of each model that can answer.
};

/// \brief What a plan is made from.
struct PlacementInput
{
    const ServiceList *list = nullptr;
    std::map<ServerName, PlacementServer> servers;
    std::map<ModelName, std::size_t> wantedReplicas; ///< Where more than one.
    std::size_t maxLoadsInFlight = 0; ///< Extra copies that may be on their way to ready at once.
};

/// \brief Moves a plan one step towards what is wanted; pure.
///
/// Keeps every copy where it is unless there is a reason. Every model has a copy on a usable
/// server if one has room; a copy is given up only once another one of the model is ready, or
/// where no room is left to do it in that order.
class PlacementPlanner
{
public:
    explicit PlacementPlanner(const PlacementInput &input);

    /// The next plan after \a previous; the same one where there is nothing to do.
    PlacementPlan nextPlan(const PlacementPlan &previous);
    /// Models that have no copy on a usable server in the last plan made.
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
    bool makeRoom(const ModelEntry &model);
    bool mayGetRoom(const ModelEntry &model) const;
    std::map<ServerName, std::vector<ModelName>> spareReplicas(const ReplicaFilter &accepts) const;
    Megabytes roomWithout(const std::vector<ModelName> &names, const ServerName &server) const;
    bool isDispensable(const ModelName &model, const ServerName &server,
                       const std::string &version) const;

    bool holds(const ModelName &model, const ServerName &server) const;
    bool isReady(const ModelName &model, const ServerName &server,
                 const std::string &version) const;
    std::size_t readyReplicaCount(const ModelName &model) const;
    std::size_t targetReplicaCount(const ModelName &model) const;
    std::size_t unreadyReplicaCount() const;
    /// The best server for one more copy; nothing where none has room.
    const ServerName *findServer(const ModelEntry &model) const;
    void addReplica(const ModelEntry &model, const ServerName &server);
    void removeReplica(const ModelName &model, const ServerName &server);
    void changeRoom(const ServerName &server, Megabytes change);

    const PlacementInput &m_input;
    std::map<ModelName, Megabytes> m_modelMemory; // a model with its adapters
    std::map<ServerName, Megabytes> m_room; // of usable servers
    std::map<ZoneName, std::set<std::pair<Megabytes, ServerName>>> m_byRoom; // the same
    PlacementPlan m_plan;
    std::vector<ModelName> m_unplaced;
    std::size_t m_unreadyReplicas = 0;
};

} // namespace quetzalyoke

#endif
