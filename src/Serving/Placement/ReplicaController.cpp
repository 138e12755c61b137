#include "Serving/Placement/ReplicaController.h"

#include <algorithm>
#include <cmath>

namespace quetzalyoke {

namespace {

// A waiting request or proposed replica that is not reported again for this long is obsolete.
constexpr Duration waitingRequestLifetime = std::chrono::milliseconds(600);

// Callers choose the names of adapters, so the number of records is limited, far above the number
// of adapters of a fleet and of their replicas.
constexpr std::size_t maxWaitingKeys = 1024;
constexpr std::size_t maxAdapterUses = 4096;

// Time before an order that the engine called invalid is sent again.
constexpr Duration invalidOrderRetryDelay = std::chrono::seconds(5);

// Minimum time between two additional replicas of one adapter. By then requests use the first one.
constexpr Duration adapterReplicationInterval = std::chrono::milliseconds(250);

// An adapter counts as in use until this long after the expected end of its last request.
constexpr Duration adapterUseRetention = std::chrono::seconds(2);

// Assumed time from the load of an adapter to the end of the first short request that waits for it.
constexpr Duration expectedFirstUse = std::chrono::milliseconds(600);

// Loads that may start together after a pause. The engines allow three beyond the rate.
constexpr double maxLoadBurst = 2;

// Interval between two plans of all replicas, and the changes that one plan may make. Together they
// allow more loads than a weight store does, so they are not the bottleneck.
constexpr Duration planInterval = std::chrono::milliseconds(150);
constexpr int maxChangesPerPlan = 3;

// Share of the weight store's rate that is used, so that clock differences don't exceed the rate.
constexpr double usedLoadRateShare = 0.95;

} // namespace

ReplicaController::ReplicaController(const Settings &settings)
    : m_settings(settings), m_planner(settings.replicas)
{ }

void ReplicaController::setServers(const ServerDirectory &directory)
{
    if (!m_config)
        return;
    std::set<ServerName> listed;
    for (const auto &[id, state] : directory.servers()) {
        const ServiceSpec *service = m_config->findService(state.listed.service);
        if (!service || !service->engine)
            continue;
        listed.insert(id);
        const std::shared_ptr<const EngineSpec> spec(m_config, &*service->engine);
        auto &engines = enginesOf(service->name);
        const auto it = engines.find(id);
        const bool isKnown = it != engines.end()
            && it->second.listed().incarnation == state.listed.incarnation
            && it->second.listed().address == state.listed.address;
        if (isKnown) {
            it->second.updateListed(state.listed);
            it->second.setSpec(spec);
            it->second.setPausedUntil(state.pausedUntil);
            it->second.setEvacuated(state.isEvacuated);
            continue;
        }
        if (it != engines.end())
            engines.erase(it);
        const auto added = engines.emplace(id, EngineTracker(state.listed, spec)).first;
        added->second.resetOrderState();
        added->second.setPausedUntil(state.pausedUntil);
        added->second.setEvacuated(state.isEvacuated);
        m_serviceByServer[id] = service->name;
        m_pendingLoads.erase(id);
    }
    for (auto &[service, engines] : m_engines)
        std::erase_if(engines, [&](const auto &entry) { return listed.count(entry.first) == 0; });
}

// Callers choose the names, so an entry is kept only for a model that may be loaded.
bool ReplicaController::isConfigured(const ModelName &model) const
{
    return m_config
        && std::any_of(m_config->services.begin(), m_config->services.end(), [&](const auto &it) {
               return it.second.engine && it.second.engine->models.count(model) > 0;
           });
}

void ReplicaController::recordPromptTokens(const ModelName &model, std::int64_t tokens, Instant now)
{
    if (!isConfigured(model))
        return;
    auto &rate = m_promptTokenRates[model];
    rate.tokensPerSecond = promptTokensPerSecond(model, now);
    rate.updatedAt = now;
    const double window = toSeconds(m_settings.demandWindow);
    rate.tokensPerSecond += static_cast<double>(tokens) / window;
}

double ReplicaController::promptTokensPerSecond(const ModelName &model, Instant now) const
{
    const auto it = m_promptTokenRates.find(model);
    if (it == m_promptTokenRates.end())
        return 0;
    const double age = toSeconds(now - it->second.updatedAt);
    const double window = toSeconds(m_settings.demandWindow);
    return it->second.tokensPerSecond * std::exp(-std::max(0.0, age) / window);
}

void ReplicaController::recordWaitingRequest(const ModelName &model, const AdapterName &adapter,
                                             Instant now)
{
    if (!isConfigured(model))
        return;
    if (m_waitingRequests.size() < maxWaitingKeys)
        m_waitingRequests[{model, adapter}] = now;
}

void ReplicaController::removeExpiredRecords(Instant now)
{
    std::erase_if(m_waitingRequests, [now](const auto &waiting) {
        return now - waiting.second > waitingRequestLifetime;
    });
    std::erase_if(m_adapterUses,
                  [now](const auto &use) { return now - use.second > adapterUseRetention; });
}

void ReplicaController::proposeAdapterReplica(const ServerName &server, const ModelName &model,
                                              const AdapterName &adapter, Instant now)
{
    m_proposedAdapterReplicas[{model, adapter}] = {server, now};
}

void ReplicaController::recordAdapterUse(const ServerName &server, const ModelName &model,
                                         const AdapterName &adapter, Instant until)
{
    if (!isConfigured(model) || m_adapterUses.size() >= maxAdapterUses)
        return;
    Instant &end = m_adapterUses[{server, {model, adapter}}];
    end = std::max(end, until);
}

void ReplicaController::setPausedUntil(const ServerName &server, Instant until)
{
    if (EngineTracker *engine = findEngine(server))
        engine->setPausedUntil(until);
}

void ReplicaController::recordOverDemand(const ServerName &server, Instant now)
{
    if (EngineTracker *engine = findEngine(server))
        engine->recordOverDemand(now);
}

ReplicaController::Actions ReplicaController::nextActions(Instant now, bool isNewHolder)
{
    Actions actions;
    if (!m_config)
        return actions;
    removeExpiredRecords(now);
    std::erase_if(m_proposedAdapterReplicas, [now](const auto &it) {
        return now - it.second.second > waitingRequestLifetime;
    });
    std::erase_if(m_adapterReplicatedAt,
                  [now](const auto &it) { return now - it.second > adapterReplicationInterval; });
    for (const auto &[name, service] : m_config->services) {
        if (!service.engine)
            continue;
        const EngineSpec &spec = *service.engine;
        auto &loadLimiter = m_loadRateLimiters[name];
        if (isNewHolder) {
            loadLimiter = RateLimiter();
            for (auto &[id, engine] : enginesOf(name))
                engine.resetOrderState();
        }
        loadLimiter.setRate(spec.loadsPerSecond * usedLoadRateShare, maxLoadBurst, now);
        for (auto &[id, engine] : enginesOf(name)) {
            const auto orderEnd = engine.nextAdapterOrderEnd();
            if (orderEnd && *orderEnd <= now) {
                const LoadedModels before = engine.loadedModels();
                engine.completeAdapterOrders(now);
                addLoadedModelChanges(engine, before);
            }
            if (engine.needsStatus(now)) {
                engine.recordStatusRequest(now);
                actions.statusRequests.push_back(id);
            }
            const auto resend = engine.orderToResend(now);
            if (!resend)
                continue;
            engine.recordOrderSent(*resend, now);
            actions.orders.push_back(*resend);
        }
        planMissingAdapters(name, spec, actions, now);
        planAdapterReplicas(name, actions, now);
        startPendingLoads(name, actions, now);
        if (now >= m_nextPlanAt)
            planReplicas(name, spec, actions, now);
        for (const auto &[id, engine] : enginesOf(name)) {
            const auto at = engine.nextAdapterOrderEnd();
            if (at && (!actions.nextAt || *at < *actions.nextAt))
                actions.nextAt = at;
        }
    }
    if (now >= m_nextPlanAt)
        m_nextPlanAt = now + planInterval;
    return actions;
}

void ReplicaController::planMissingAdapters(const ServiceName &service, const EngineSpec &spec,
                                            Actions &actions, Instant now)
{
    const auto &engines = enginesOf(service);
    for (const auto &waiting : m_waitingRequests) {
        const AdapterKey &key = waiting.first;
        if (key.second.isEmpty() || spec.models.count(key.first) == 0)
            continue;
        const auto countEngines = [&engines](const auto &matches) {
            return std::count_if(engines.begin(), engines.end(),
                                 [&](const auto &entry) { return matches(entry.second); });
        };
        // An engine whose request limit is used up is sufficient only if no other has the model.
        const bool hasSufficientEngine
            = countEngines([&](const EngineTracker &engine) {
                  return engine.servesDemand(now) && engine.hasLoaded(key.first, {});
              })
            > 0;
        const auto isUsable = [&](const EngineTracker &engine) {
            return hasSufficientEngine ? engine.servesDemand(now) : !engine.isWithdrawn();
        };
        const bool isAvailable = countEngines([&](const EngineTracker &engine) {
                                     return isUsable(engine)
                                         && (engine.isLoading(key.first, key.second)
                                             || engine.hasLoaded(key.first, key.second));
                                 })
            > 0;
        if (!isAvailable)
            planAdapterLoad(key, engines, isUsable, actions, now);
    }
}

void ReplicaController::planAdapterLoad(const AdapterKey &key,
                                        const ReplicaPlanner::EngineTrackers &engines,
                                        const EngineFilter &isUsable, Actions &actions, Instant now)
{
    ServerName bestServer;
    AdapterKey bestVictim;
    bool bestHasRoom = false;
    int bestCount = 0;
    Instant bestUse;
    for (const auto &[id, engine] : engines) {
        if (!isUsable(engine) || !engine.isReadyForOrder(now) || !engine.hasLoaded(key.first, {}))
            continue;
        const auto invalid = m_invalidOrders.find({id, key});
        if (invalid != m_invalidOrders.end() && now - invalid->second < invalidOrderRetryDelay)
            continue;
        if (engine.hasRoomFor(key.first, key.second)) {
            if (!bestHasRoom || engine.adapterCount() < bestCount) {
                bestServer = id;
                bestHasRoom = true;
                bestCount = engine.adapterCount();
            }
            continue;
        }
        if (bestHasRoom)
            continue;
        const auto victim = leastRecentlyUsedAdapter(engine, now);
        if (!victim || (!bestServer.isEmpty() && victim->second >= bestUse))
            continue;
        bestServer = id;
        bestVictim = victim->first;
        bestUse = victim->second;
    }
    EngineTracker *engine = findEngine(bestServer);
    if (!engine)
        return;
    if (bestHasRoom)
        issueOrder(*engine, engine->makeLoadOrder(key.first, key.second), actions, now);
    else
        issueOrder(*engine, engine->makeUnloadOrder(bestVictim.first, bestVictim.second), actions,
                   now);
}

// Returns the adapter whose last request ended first, and when; nothing if all are in use.
std::optional<std::pair<ReplicaController::AdapterKey, Instant>>
ReplicaController::leastRecentlyUsedAdapter(const EngineTracker &engine, Instant now) const
{
    std::optional<std::pair<AdapterKey, Instant>> leastRecent;
    for (const auto &[model, adapters] : engine.loadedModels()) {
        for (const AdapterName &adapter : adapters) {
            const auto use = m_adapterUses.find({engine.listed().id, {model, adapter}});
            const Instant endedAt = use == m_adapterUses.end() ? Instant() : use->second;
            if (now - endedAt < m_settings.adapterEvictionDelay
                || (leastRecent && endedAt >= leastRecent->second))
                continue;
            leastRecent = {{model, adapter}, endedAt};
        }
    }
    return leastRecent;
}

// Loads additional replicas of adapters whose engines are busy.
void ReplicaController::planAdapterReplicas(const ServiceName &service, Actions &actions,
                                            Instant now)
{
    for (const auto &[key, proposal] : m_proposedAdapterReplicas) {
        const ServerName &server = proposal.first;
        EngineTracker *engine = findEngine(server);
        if (!engine || m_serviceByServer[server] != service || m_adapterReplicatedAt.count(key) > 0
            || engine->isWithdrawn() || !engine->isReadyForOrder(now)
            || !engine->hasLoaded(key.first, {}) || engine->hasLoaded(key.first, key.second))
            continue;
        if (engine->hasRoomFor(key.first, key.second)) {
            issueOrder(*engine, engine->makeLoadOrder(key.first, key.second), actions, now);
            m_adapterReplicatedAt[key] = now;
            continue;
        }
        if (const auto victim = leastRecentlyUsedAdapter(*engine, now))
            issueOrder(*engine, engine->makeUnloadOrder(victim->first.first, victim->first.second),
                       actions, now);
    }
}

// Starts the loads for which an unload has made room.
void ReplicaController::startPendingLoads(const ServiceName &service, Actions &actions, Instant now)
{
    for (auto it = m_pendingLoads.begin(); it != m_pendingLoads.end();) {
        EngineTracker *engine = findEngine(it->first);
        const bool isObsolete = !engine || engine->isWithdrawn()
            || engine->hasLoaded(it->second, {}) || engine->isLoading(it->second, {});
        if (isObsolete) {
            it = m_pendingLoads.erase(it);
            continue;
        }
        if (!engine->isReadyForOrder(now) || m_serviceByServer[it->first] != service) {
            ++it;
            continue;
        }
        if (!engine->hasRoomFor(it->second, {})) {
            it = m_pendingLoads.erase(it);
            continue;
        }
        // The engine may have deleted the model from its disk since the load was planned, so it
        // needs the weight store after all.
        if (m_localPendingLoads.count(it->first) > 0 && !engine->isStoredLocally(it->second)
            && !m_loadRateLimiters[service].tryAcquire(now)) {
            ++it;
            continue;
        }
        issueOrder(*engine, engine->makeLoadOrder(it->second, {}), actions, now);
        it = m_pendingLoads.erase(it);
    }
}

void ReplicaController::planReplicas(const ServiceName &service, const EngineSpec &spec,
                                     Actions &actions, Instant now)
{
    auto &engines = enginesOf(service);
    auto &loadLimiter = m_loadRateLimiters[service];
    const ReplicaPlanner::DemandByModel demand = demandByModel(spec, now);
    const std::set<ModelName> missing = modelsWithoutReplica(spec, engines, now);
    std::set<ModelName> withWaitingRequests;
    for (const auto &[waiting, at] : m_waitingRequests)
        withWaitingRequests.insert(waiting.first);
    for (int i = 0; i < maxChangesPerPlan; ++i) {
        const auto change
            = m_planner.planNextChange({spec, engines, demand, m_pendingLoads, missing,
                                        withWaitingRequests, loadLimiter.canAcquire(now), now});
        if (!change)
            return;
        // A model is unloaded only for a load that may start at once.
        EngineTracker *engine = findEngine(change->server);
        const bool isStoredLocally = engine->isStoredLocally(change->modelToLoad);
        if (!isStoredLocally && !loadLimiter.tryAcquire(now))
            return;
        if (change->modelToUnload.isEmpty()) {
            issueOrder(*engine, engine->makeLoadOrder(change->modelToLoad, {}), actions, now);
            continue;
        }
        m_pendingLoads[change->server] = change->modelToLoad;
        if (isStoredLocally)
            m_localPendingLoads.insert(change->server);
        else
            m_localPendingLoads.erase(change->server);
        issueOrder(*engine, engine->makeUnloadOrder(change->modelToUnload, {}), actions, now);
    }
}

// The demand for a model is the share of one engine's time that its prompts take or, if that is
// higher, a demand derived from the share of an engine's adapter slots that are in use.
ReplicaPlanner::DemandByModel ReplicaController::demandByModel(const EngineSpec &spec,
                                                               Instant now) const
{
    std::map<ModelName, std::set<AdapterName>> adapters;
    for (const auto &[use, at] : m_adapterUses)
        adapters[use.second.first].insert(use.second.second);
    ReplicaPlanner::DemandByModel demand;
    for (const auto &[model, entry] : spec.models) {
        demand[model] = promptTokensPerSecond(model, now) / (m_settings.prefillTokensPerMs * 1000);
        const auto used = adapters.find(model);
        if (used == adapters.end() || spec.adapterSlots == 0)
            continue;
        const double usedEngines = static_cast<double>(used->second.size()) / spec.adapterSlots;
        demand[model]
            = std::max(demand[model], usedEngines * m_settings.replicas.scaleUpUtilization);
    }
    return demand;
}

std::set<ModelName>
ReplicaController::modelsWithoutReplica(const EngineSpec &spec,
                                        const ReplicaPlanner::EngineTrackers &engines, Instant now)
{
    std::set<ModelName> replicated;
    std::set<ModelName> storedLocally;
    for (const auto &[id, engine] : engines) {
        if (!engine.servesDemand(now))
            continue;
        storedLocally.insert(engine.locallyStoredModels().begin(),
                             engine.locallyStoredModels().end());
        for (const auto &[model, adapters] : engine.loadedModels()) {
            if (!engine.isUnloading(model))
                replicated.insert(model);
        }
        if (const auto loading = engine.loadingModel())
            replicated.insert(*loading);
    }
    std::set<ModelName> missing;
    for (const auto &entry : spec.models) {
        const ModelName &model = entry.first;
        if (replicated.count(model) > 0) {
            m_withoutReplicaSince.erase(model);
            continue;
        }
        const Instant since = m_withoutReplicaSince.try_emplace(model, now).first->second;
        const bool hasWaitingRequest
            = std::any_of(m_waitingRequests.begin(), m_waitingRequests.end(),
                          [&](const auto &waiting) { return waiting.first.first == model; });
        const Duration delay
            = storedLocally.count(model) > 0 ? m_settings.localReloadDelay : m_settings.reloadDelay;
        if (hasWaitingRequest || now - since >= delay)
            missing.insert(model);
    }
    return missing;
}

void ReplicaController::issueOrder(EngineTracker &engine, const ConditionalEngineOrder &order,
                                   Actions &actions, Instant now)
{
    engine.recordOrderSent(order, now);
    actions.orders.push_back(order);
}

void ReplicaController::onOrderOutcome(const ConditionalEngineOrder &order, OrderOutcome outcome,
                                       Instant now)
{
    EngineTracker *engine = findEngine(order.server);
    if (!engine)
        return;
    const LoadedModels before = engine->loadedModels();
    engine->onOrderOutcome(order, outcome, now);
    addLoadedModelChanges(*engine, before);
    if (outcome == OrderOutcome::Invalid)
        m_invalidOrders[{order.server, {order.model, order.adapter}}] = now;
    if (outcome == OrderOutcome::Accepted && order.kind == ConditionalEngineOrder::Kind::Load)
        recordAdapterUse(order.server, order.model, order.adapter, now + expectedFirstUse);
}

void ReplicaController::onStatus(const ServerName &server, const EngineStatus &status,
                                 Instant askedAt, Instant now)
{
    EngineTracker *engine = findEngine(server);
    if (!engine)
        return;
    const LoadedModels before = engine->loadedModels();
    engine->onStatus(status, askedAt, now);
    addLoadedModelChanges(*engine, before);
}

void ReplicaController::addLoadedModelChanges(const EngineTracker &engine,
                                              const LoadedModels &before)
{
    for (const auto &[model, adapters] : before) {
        if (!engine.hasLoaded(model, {})) {
            addLoadedModelChange(engine, model, {}, false);
            continue;
        }
        for (const AdapterName &adapter : adapters) {
            if (!engine.hasLoaded(model, adapter))
                addLoadedModelChange(engine, model, adapter, false);
        }
    }
    for (const auto &[model, adapters] : engine.loadedModels()) {
        const auto known = before.find(model);
        if (known == before.end())
            addLoadedModelChange(engine, model, {}, true);
        for (const AdapterName &adapter : adapters) {
            if (known == before.end() || known->second.count(adapter) == 0)
                addLoadedModelChange(engine, model, adapter, true);
        }
    }
}

void ReplicaController::addLoadedModelChange(const EngineTracker &engine, const ModelName &model,
                                             const AdapterName &adapter, bool isLoad)
{
    LoadedModelChange change;
    change.server = engine.listed().id;
    change.incarnation = engine.listed().incarnation;
    change.acceptedOrders = engine.acceptedOrders();
    change.model = model;
    change.adapter = adapter;
    change.isLoad = isLoad;
    m_loadedModelChanges.push_back(change);
}

std::vector<LoadedModelChange> ReplicaController::takeLoadedModelChanges()
{
    return std::exchange(m_loadedModelChanges, {});
}

EngineTracker *ReplicaController::findEngine(const ServerName &server)
{
    const auto service = m_serviceByServer.find(server);
    if (service == m_serviceByServer.end())
        return nullptr;
    auto &engines = enginesOf(service->second);
    const auto it = engines.find(server);
    return it == engines.end() ? nullptr : &it->second;
}

} // namespace quetzalyoke
