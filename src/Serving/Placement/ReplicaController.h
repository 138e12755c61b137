#ifndef QUETZALYOKE_SERVING_PLACEMENT_REPLICACONTROLLER_H
#define QUETZALYOKE_SERVING_PLACEMENT_REPLICACONTROLLER_H

#include "Serving/Placement/ReplicaPlanner.h"
#include "Serving/Requests/RateLimiter.h"
#include "Serving/Servers/ServerDirectory.h"

#include <functional>

namespace quetzalyoke {

/// \brief Decides which orders engines get: replicas of models by demand, adapters by request.
///
/// Only the gateway that holds the placement lease executes what nextActions() returns. Every
/// gateway updates its own controller, so that a new lease holder knows the demand at once.
class ReplicaController
{
public:
    struct Actions
    {
        std::vector<ConditionalEngineOrder>
            orders; ///< Orders to send now; each must be followed by onOrderOutcome().
        std::vector<ServerName>
            statusRequests; ///< Engines to ask for their status; each status goes to onStatus().
        std::optional<Instant> nextAt; ///< Latest time of the next call of nextActions().
    };

    struct Settings
    {
        ReplicaPlanner::Settings replicas;
        double prefillTokensPerMs = 38; ///< \sa ServerChooser::Settings
        Duration demandWindow{2'000'000}; ///< Averaging window of the demand.
        /// Time after the expected end of its last request from which on an adapter may be
        /// unloaded. It is short because loading it again takes a few milliseconds.
        Duration adapterEvictionDelay{100'000};
        /// Time for which a model without waiting requests must lack a replica before it is loaded
        /// again. Servers that have just started are listed one after the other, and a later one
        /// may have the model loaded.
        Duration reloadDelay{2'000'000};
        /// The same for a model that an engine stores locally, since such a load costs little.
        Duration localReloadDelay{300'000};
    };

    explicit ReplicaController(const Settings &settings);

    void setConfig(ServingConfigPtr config) { m_config = std::move(config); }
    /// Updates the tracked engines from \a directory and drops those that it doesn't list.
    void setServers(const ServerDirectory &directory);

    /// Adds the prompt tokens of a request for \a model, whatever became of the request.
    void recordPromptTokens(const ModelName &model, std::int64_t tokens, Instant now);
    /// Returns whether any service may load \a model. Other models are not recorded.
    bool isConfigured(const ModelName &model) const;
    /// Removes what has expired of the records below. To be called regularly at each gateway, also
    /// where nextActions() is not called because another one holds the lease.
    void removeExpiredRecords(Instant now);
    /// Records that a request waits for \a adapter of \a model, or for the model if \a adapter is
    /// empty.
    void recordWaitingRequest(const ModelName &model, const AdapterName &adapter, Instant now);
    /// Proposes to load \a adapter on \a server, which has the model and spare time, because the
    /// engines that have the adapter are busy.
    void proposeAdapterReplica(const ServerName &server, const ModelName &model,
                               const AdapterName &adapter, Instant now);
    /// Records that a request for \a adapter was sent to \a server and is expected to end at
    /// \a until.
    void recordAdapterUse(const ServerName &server, const ModelName &model,
                          const AdapterName &adapter, Instant until);

    /// Sends nothing to the engine \a server before \a until.
    void setPausedUntil(const ServerName &server, Instant until);
    /// Records that the request limit of \a server left requests without a permit. Its replicas are
    /// then not sufficient.
    void recordOverDemand(const ServerName &server, Instant now);

    /// Returns the orders and status requests that the lease holder is to send now.
    /// \a isNewHolder says that this gateway has just become the holder.
    Actions nextActions(Instant now, bool isNewHolder);
    void onOrderOutcome(const ConditionalEngineOrder &order, OrderOutcome outcome, Instant now);
    void onStatus(const ServerName &server, const EngineStatus &status, Instant askedAt,
                  Instant now);
    /// Returns the changes of loaded models since the last call, for every gateway's
    /// ServerDirectory.
    std::vector<LoadedModelChange> takeLoadedModelChanges();

    double promptTokensPerSecond(const ModelName &model, Instant now) const;

private:
    struct PromptTokenRate
    {
        double tokensPerSecond = 0;
        Instant updatedAt;
    };
    using AdapterKey = std::pair<ModelName, AdapterName>;

    void planMissingAdapters(const ServiceName &service, const EngineSpec &spec, Actions &actions,
                             Instant now);
    using EngineFilter = std::function<bool(const EngineTracker &)>;
    void planAdapterLoad(const AdapterKey &key, const ReplicaPlanner::EngineTrackers &engines,
                         const EngineFilter &isUsable, Actions &actions, Instant now);
    std::optional<std::pair<AdapterKey, Instant>>
    leastRecentlyUsedAdapter(const EngineTracker &engine, Instant now) const;
    void planAdapterReplicas(const ServiceName &service, Actions &actions, Instant now);
    void startPendingLoads(const ServiceName &service, Actions &actions, Instant now);
    void planReplicas(const ServiceName &service, const EngineSpec &spec, Actions &actions,
                      Instant now);
    void issueOrder(EngineTracker &engine, const ConditionalEngineOrder &order, Actions &actions,
                    Instant now);
    void addLoadedModelChange(const EngineTracker &engine, const ModelName &model,
                              const AdapterName &adapter, bool isLoad);
    void addLoadedModelChanges(const EngineTracker &engine, const LoadedModels &before);
    ReplicaPlanner::DemandByModel demandByModel(const EngineSpec &spec, Instant now) const;
    std::set<ModelName> modelsWithoutReplica(const EngineSpec &spec,
                                             const ReplicaPlanner::EngineTrackers &engines,
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
    std::map<ServiceName, RateLimiter> m_loadRateLimiters;
    std::map<ModelName, PromptTokenRate> m_promptTokenRates;
    std::map<AdapterKey, Instant> m_waitingRequests;
    std::map<AdapterKey, std::pair<ServerName, Instant>>
        m_proposedAdapterReplicas; // latest proposal of each adapter
    std::map<AdapterKey, Instant> m_adapterReplicatedAt;
    std::map<std::pair<ServerName, AdapterKey>, Instant>
        m_adapterUses; // expected end of the last request
    std::map<std::pair<ServerName, AdapterKey>, Instant> m_invalidOrders;
    std::map<ServerName, ModelName>
        m_pendingLoads; // models to load once an unload has made room, by engine
    std::set<ServerName>
        m_localPendingLoads; // engines whose pending load was planned without the weight store
    std::map<ModelName, Instant> m_withoutReplicaSince;
    std::vector<LoadedModelChange> m_loadedModelChanges;
    Instant m_nextPlanAt;
};

} // namespace quetzalyoke

#endif
