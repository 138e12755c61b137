#ifndef QUETZALYOKE_CORE_PLACEMENT_PLACEMENTVIEW_H
#define QUETZALYOKE_CORE_PLACEMENT_PLACEMENTVIEW_H

#include "Core/Placement/PlacementPlanner.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace quetzalyoke {

/// \brief The state that the agent of an engine last reported, as far as placement depends on it.
struct EnginePlacementStatus
{
    struct Model
    {
        std::string name;
        std::string version;
        bool isReady = false;
        std::int64_t load = 0; ///< Number of queued and running attempts.
    };

    InstanceId instance;
    Incarnation incarnation;
    std::int64_t sequence = 0;
    ServerName server;
    ZoneName zone;
    Megabytes memory; ///< Zero if not reported.
    std::int64_t capacity = 1; ///< Number of attempts that run at once.
    bool draining = false;
    std::vector<Model> models;
};

/// \brief Collects the engine reports that one gateway receives and makes the planner's input from
/// them. Does no I/O.
class PlacementView
{
public:
    /// A server whose last report is older than \a reportTimeout counts as lost.
    PlacementView(Duration reportTimeout, Instant startedAt);

    /// Applies a report; ignored if it is no newer than the last one applied.
    void update(const EnginePlacementStatus &status, Instant now);
    /// Sets the agents of engines and plain services that the platform's instance list shows as
    /// leaving.
    void setLeavingInstances(std::set<InstanceId> instances);
    bool isLeaving(const InstanceId &instance) const;

    /// Returns whether enough engines report to make a plan: all listed engines, or, once the
    /// report timeout has passed since the start, half of them, or at least one if fewer than half
    /// have reported for another report timeout. A gateway that receives no reports is disconnected
    /// and makes no plan.
    bool hasEnoughReports(const ServiceList &list, Instant now);
    /// Returns the planner's input for \a list and the current \a plan.
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

    Duration m_reportTimeout;
    Instant m_startedAt;
    Instant m_halfReportedAt; // last time that half of the listed engines were reporting
    std::set<InstanceId> m_leavingInstances;
    std::map<ServerName, Entry> m_servers;
    std::map<ModelName, Instant> m_neededAt; // last time that all replicas were needed
};

} // namespace quetzalyoke

#endif
