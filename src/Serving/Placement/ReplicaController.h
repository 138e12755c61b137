#ifndef QUETZALYOKE_SERVING_PLACEMENT_REPLICACONTROLLER_H
#define QUETZALYOKE_SERVING_PLACEMENT_REPLICACONTROLLER_H

#include "Serving/Placement/LoadRateLimiter.h"
#include "Serving/Placement/ReplicaPlanner.h"
#include "Serving/Servers/ServerDirectory.h"

namespace quetzalyoke {

/// \brief Orders to engines: copies of models by demand, adapters as requests ask for them.
///
/// Only the gateway that holds the placement lease sends what next() returns; every gateway feeds
/// its own director, so that a new holder knows demand and use at once.
class ReplicaController
{
public:
    struct Actions
    {
        std::vector<ConditionalEngineOrder>
            orders; ///< To be sent now; each needs onOrderOutcome().
        std::vector<ServerName> statusRequests; ///< Engines to ask; each answer to onStatus().
        std::optional<Instant> nextAt; ///< When to ask for the next step at the latest.
    };

    struct Settings
    {
        ReplicaPlanner::Settings replicas;
        double prefillTokensPerMs = 38; ///< \sa ServerChooser::Settings
        Duration demandWindow{2'000'000}; ///< Over which demand is averaged.
        /// After the expected end of its last request an adapter may make way: it is loaded again
        /// within a few milliseconds.
        Duration adapterEvictionDelay{100'000};
        /// A model that no request waits for has lost its last copy for this long before it is
        /// loaded again: servers that have just started are listed one after the other.
        Duration reloadDelay{2'000'000};
        /// The same where an engine has the model at hand: a load costs little.
        Duration localReloadDelay{300'000};
    };

    explicit ReplicaController(const Settings &settings);

    void setConfig(ServingConfigPtr config) { m_config = std::move(config); }
    /// The engines as listed; books of others are dropped.
    void setServers(const ServerDirectory &book);

    /// Prompt tokens asked of \a model, wherever its requests ended.
    void recordPromptTokens(const ModelName &model, std::int64_t tokens, Instant now);
    /// Requests wait for \a adapter of \a model, or for the model itself.
    void recordWaitingRequest(const ModelName &model, const AdapterName &adapter, Instant now);
    /// The engines that hold \a adapter are busy; \a server holds its model and has time.
    void proposeAdapterReplica(const ServerName &server, const ModelName &model,
                               const AdapterName &adapter, Instant now);
    /// A request with \a adapter has been sent to \a server and runs until about \a until.
    void recordAdapterUse(const ServerName &server, const ModelName &model,
                          const AdapterName &adapter, Instant until);

    /// Orders and questions of a holder. \a isNew: it has just become one.
    Actions nextActions(Instant now, bool isNew);
    void onOrderOutcome(const ConditionalEngineOrder &command, OrderOutcome outcome, Instant now);
    void onStatus(const ServerName &server, const EngineStatus &status, Instant askedAt,
                  Instant now);
    /// Changes that orders have brought since the last call, for every gateway's ServerDirectory.
    std::vector<LoadedModelChange> takeLoadedModelChanges();

    double promptTokensPerSecond(const ModelName &model, Instant now) const;

private:
    struct PromptTokenRate
    {
        double tokensPerSecond = 0;
        Instant updatedAt;
    };
    using AdapterKey = std::pair<ModelName, AdapterName>;

    void planMissingAdapters(const ServiceName &service, const EngineSpec &spec, Actions &step,
                             Instant now);
    void planAdapterLoad(const AdapterKey &key, const ReplicaPlanner::EngineTrackers &books,
                         Actions &step, Instant now);
    std::optional<std::pair<AdapterKey, Instant>>
    leastRecentlyUsedAdapter(const EngineTracker &book, Instant now) const;
    void planAdapterReplicas(const ServiceName &service, Actions &step, Instant now);
    void startPendingLoads(const ServiceName &service, Actions &step, Instant now);
    void planReplicas(const ServiceName &service, const EngineSpec &spec, Actions &step,
                      Instant now);
    void issueOrder(EngineTracker &book, const ConditionalEngineOrder &command, Actions &step,
                    Instant now);
    void addLoadedModelChange(const EngineTracker &book, const ModelName &model,
                              const AdapterName &adapter, bool isLoad);
    void addLoadedModelChanges(const EngineTracker &book, const LoadedModels &before);
    ReplicaPlanner::DemandByModel demandByModel(const EngineSpec &spec, Instant now) const;
    std::set<ModelName> modelsWithoutReplica(const EngineSpec &spec,
                                             const ReplicaPlanner::EngineTrackers &books,
                                             Instant now);
    ReplicaPlanner::EngineTrackers &enginesOf(const ServiceName &service)
    {
        return m_engines[service];
    }
    EngineTracker *findEngine(const ServerName &server);

    const Settings m_settings;
    const ReplicaPlanner m_planner;
    ServingConfigPtr m_config;
    std::map<ServiceName, ReplicaPlanner::EngineTrackers> m_engines;
    std::map<ServerName, ServiceName> m_serviceByServer;
    std::map<ServiceName, LoadRateLimiter> m_loadRateLimiters;
    std::map<ModelName, PromptTokenRate> m_promptTokenRates;
    std::map<AdapterKey, Instant> m_waitingRequests;
    std::map<AdapterKey, std::pair<ServerName, Instant>>
        m_proposedAdapterReplicas; // the latest one of each
    std::map<AdapterKey, Instant> m_adapterReplicatedAt;
    std::map<std::pair<ServerName, AdapterKey>, Instant> m_adapterUses; // expected ends
    std::map<std::pair<ServerName, AdapterKey>, Instant> m_invalidOrders;
    std::map<ServerName, ModelName> m_pendingLoads; // to be loaded once an unload has made room
    std::set<ServerName>
        m_localPendingLoads; // of those, the ones planned as loads of what is at hand
    std::map<ModelName, Instant> m_withoutReplicaSince;
    std::vector<LoadedModelChange> m_loadedModelChanges;
    Instant m_nextPlanAt;
};

} // namespace quetzalyoke

#endif
