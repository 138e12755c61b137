#ifndef QUETZALYOKE_CORE_PLACEMENT_PLACEMENTVIEW_H
#define QUETZALYOKE_CORE_PLACEMENT_PLACEMENTVIEW_H

#include "Core/Placement/PlacementPlanner.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace quetzalyoke {

/// \brief What the agent of an engine last said, as far as placement depends on it.
struct EnginePlacementStatus
{
    struct Model
    {
        std::string name;
        std::string version;
        bool isReady = false;
        std::int64_t load = 0; ///< Queued and running attempts.
    };

    InstanceId instance;
    Incarnation incarnation;
    std::int64_t sequence = 0;
    ServerName server;
    ZoneName zone;
    Megabytes memory; ///< Zero: not told.
    std::int64_t capacity = 1; ///< Attempts that run at once.
    bool draining = false;
    std::vector<Model> models;
};

/// \brief The engines as one gateway hears of them, made into the planner's input. Pure.
class PlacementView
{
public:
    /// A server silent for longer than \a silence counts as lost.
    PlacementView(Duration silence, Instant startedAt);

    void update(const EnginePlacementStatus &status, Instant now);
    /// Agents, of engines and services, that the platform's instance list shows as leaving.
    void setLeavingInstances(std::set<InstanceId> instances);
    bool isLeaving(const InstanceId &instance) const;

    /// Whether enough is heard to plan: every listed engine, half of them after the start, or
    /// some of them for a while. A gateway that hears none is cut off.
    bool hasEnoughReports(const ServiceList &list, Instant now);
    PlacementInput makePlannerInput(const ServiceList &list, const PlacementPlan &plan,
                                    Instant now);

private:
    struct Entry
    {
        EnginePlacementStatus status;
        Instant reportedAt;
    };

    bool isUsable(const Entry &entry, Instant now) const;
    std::size_t wantedReplicas(const ModelName &model, const PlacementPlan::Replicas &replicas,
                               Instant now);

    Duration m_silence;
    Instant m_startedAt;
    Instant m_halfReportedAt; // when half of the listed engines were last heard
    std::set<InstanceId> m_leavingInstances;
    std::map<ServerName, Entry> m_servers;
    std::map<ModelName, Instant> m_busyAt; // when the copies were last all needed
};

} // namespace quetzalyoke

#endif
