#ifndef QUETZALYOKE_SERVING_PLACEMENT_REPLICAPLANNER_H
#define QUETZALYOKE_SERVING_PLACEMENT_REPLICAPLANNER_H

#include "Serving/Placement/EngineTracker.h"

namespace quetzalyoke {

/// \brief Where to load one more copy of a model, and what to unload there first.
struct ReplicaChange
{
    ServerName server;
    ModelName modelToLoad;
    ModelName modelToUnload; ///< Empty: there is room.
};

/// \brief Decides the copies of models on the engines of one service.
///
/// Answers demand that moves to other models: every model keeps one copy; the rest of the memory
/// follows the prompt work per copy, one change at a time, and only where the model that gains is
/// clearly busier per copy than the one that loses, so that a wavering demand moves nothing.
/// Answers engines that come back empty: they keep what they held on their own disks, which loads
/// several times as fast and leaves the weight store to others.
/// Answers more models than places, or models in need of more copies than there is room for: a
/// model that nobody asks for gives up its last copy while some engine keeps it at hand, and is
/// loaded again when it is asked for.
class ReplicaPlanner
{
public:
    struct Settings
    {
        /// Work per copy, as a share of an engine's time, from which on a model gets another one.
        double scaleUpUtilization = 0.15;
        /// A copy is given up only where its model stays below this share of the gainer's work.
        double victimDemandRatio = 0.5;
        /// Work per copy from which on a model may take the place of an idle model's last copy.
        double lastReplicaEvictionUtilization = 0.5;
        /// Below this share of an engine's time a model is idle: no request for some seconds.
        double idleUtilization = 0.002;
        /// A model that requests wait for may take the place of a last copy whose work is below
        /// this share of its own.
        double lastReplicaDemandRatio = 0.25;
    };

    using EngineTrackers = std::map<ServerName, EngineTracker>;
    /// Share of one engine's time that a model's requests take now.
    using DemandByModel = std::map<ModelName, double>;

    struct Input
    {
        const EngineSpec &spec;
        const EngineTrackers &engines;
        DemandByModel demand;
        std::map<ServerName, ModelName> pendingLoads; ///< Loads that wait for an unload.
        std::set<ModelName> modelsWithoutReplica; ///< Models without a copy that need one.
        std::set<ModelName> modelsWithWaitingRequests; ///< Models that requests wait for.
        bool mayUseWeightStore
            = true; ///< From the weight store; else only what engines have at hand.
        Instant now;
    };

    explicit ReplicaPlanner(const Settings &settings) : m_settings(settings) { }

    /// The most useful change, or nothing. Engines that are not free to take orders are left out
    /// as targets, but their copies count.
    std::optional<ReplicaChange> planNextChange(const Input &input) const;

private:
    struct ReplicaCounts
    {
        int loaded = 0;
        int loading = 0;

        int total() const { return loaded + loading; }
    };

    std::map<ModelName, ReplicaCounts> countReplicas(const Input &input) const;
    std::optional<ReplicaChange> planLoad(const ModelName &model, double work,
                                          double mostOfLastReplica, const Input &input,
                                          const std::map<ModelName, ReplicaCounts> &counts) const;

    const Settings m_settings;
};

} // namespace quetzalyoke

#endif
