#ifndef QUETZALYOKE_SERVING_PLACEMENT_REPLICAPLANNER_H
#define QUETZALYOKE_SERVING_PLACEMENT_REPLICAPLANNER_H

#include "Serving/Placement/EngineTracker.h"

namespace quetzalyoke {

/// \brief A model to load on an engine, and the model to unload there first.
struct ReplicaChange
{
    ServerName server;
    ModelName modelToLoad;
    ModelName modelToUnload; ///< Empty if the engine has room.
};

/// \brief Decides which models the engines of one service load and unload.
///
/// Every model keeps one replica. The rest of the memory follows the prompt work per replica, one
/// change at a time. A model gains a replica only if it is clearly busier per replica than the
/// model that loses one, so that fluctuating demand causes no changes.
/// Engines that restart without loaded models prefer the models stored on their own disks, which
/// load several times as fast and leave the weight store to other engines.
/// If there are more models, or more replicas wanted, than fit in memory, an idle model may lose
/// its last replica while the engine stores it locally; it is loaded again when it is requested.
class ReplicaPlanner
{
public:
    struct Settings
    {
        /// Demand per replica, as a share of one engine's time, above which a model gets another
        /// one.
        double scaleUpUtilization = 0.15;
        /// A replica is unloaded only if the demand per remaining replica of its model stays within
        /// this share of the demand per replica of the model to load.
        double victimDemandRatio = 0.5;
        /// Demand per replica from which on a model may replace an idle model's last replica.
        double lastReplicaEvictionUtilization = 0.5;
        /// A model below this share of one engine's time is idle: it had no request for some
        /// seconds.
        double idleUtilization = 0.002;
        /// A model with waiting requests may replace the last replica of a model whose demand is
        /// below this share of its own.
        double lastReplicaDemandRatio = 0.25;
    };

    using EngineTrackers = std::map<ServerName, EngineTracker>;
    /// Current demand for each model, as a share of one engine's time.
    using DemandByModel = std::map<ModelName, double>;

    struct Input
    {
        const EngineSpec &spec;
        const EngineTrackers &engines;
        DemandByModel demand;
        std::map<ServerName, ModelName> pendingLoads; ///< Loads that wait for an unload, by engine.
        std::set<ModelName> modelsWithoutReplica; ///< Models that need a first replica.
        std::set<ModelName> modelsWithWaitingRequests;
        bool mayUseWeightStore = true; ///< If false, only locally stored models may be loaded.
        Instant now;
    };

    explicit ReplicaPlanner(const Settings &settings) : m_settings(settings) { }

    /// Returns the most useful change, or nothing. Engines that can't take an order now are not
    /// chosen, but their replicas count.
    std::optional<ReplicaChange> planNextChange(const Input &input) const;

private:
    struct ReplicaCounts
    {
        int loaded = 0;
        int loading = 0;

        int total() const { return loaded + loading; }
    };

    std::map<ModelName, ReplicaCounts> countReplicas(const Input &input) const;
    std::optional<ReplicaChange> planLoad(const ModelName &model, double demandPerReplica,
                                          double lastReplicaDemandLimit, const Input &input,
                                          const std::map<ModelName, ReplicaCounts> &counts) const;

    const Settings m_settings;
};

} // namespace quetzalyoke

#endif
