#include "Serving/Placement/ReplicaController.h"

#include <algorithm>
#include <cmath>

namespace quetzalyoke {

namespace {

// A need that no gateway has repeated for this long is over.
constexpr Duration needLifetime = std::chrono::milliseconds(600);

// An order that the engine called impossible is not tried again before.
constexpr Duration impossiblePause = std::chrono::seconds(5);

// Between two further copies of one adapter: by then requests go to the first of them.
constexpr Duration reliefPause = std::chrono::milliseconds(250);

// An adapter counts as asked for until this long after its last request.
constexpr Duration useMemory = std::chrono::seconds(2);

// From the load of an adapter to the end of the first request that waits for it, if that is short.
constexpr Duration firstUse = std::chrono::milliseconds(600);

// Loads that may begin at once after a pause; the engines' rules allow three beyond the rate.
constexpr double savedLoads = 2;

// Between two looks at the copies of all models, and changes that one look may bring: together more
// than a weight store allows.
constexpr Duration planInterval = std::chrono::milliseconds(150);
constexpr int changesPerPlan = 3;

// Below the weight store's rate, so that clocks that differ don't exceed it.
constexpr double usedShareOfRate = 0.95;

} // namespace

ReplicaController::ReplicaController(const Settings &settings)
    : m_settings(settings), m_planner(settings.replicas)
{ }

void ReplicaController::setServers(const ServerDirectory &book)
{
    if (!m_config)
        return;
    std::set<ServerName> listed;
    for (const auto &[id, state] : book.servers()) {
        const ServiceSpec *service = m_config->findService(state.listed.service);
        if (!service || !service->engine)
            continue;
        listed.insert(id);
        const std::shared_ptr<const EngineSpec> spec(m_config, &*service->engine);
        auto &books = enginesOf(service->name);
        const auto it = books.find(id);
        const bool isKnown = it != books.end()
            && it->second.listed().incarnation == state.listed.incarnation
            && it->second.listed().address == state.listed.address;
        if (isKnown) {
            it->second.updateListed(state.listed);
            it->second.setSpec(spec);
            it->second.setPausedUntil(state.pausedUntil);
            continue;
        }
        if (it != books.end())
            books.erase(it);
        const auto added = books.emplace(id, EngineTracker(state.listed, spec)).first;
        added->second.resetOrderState();
        added->second.setPausedUntil(state.pausedUntil);
        m_serviceByServer[id] = service->name;
        m_pendingLoads.erase(id);
    }
    for (auto &[service, books] : m_engines)
        std::erase_if(books, [&](const auto &entry) { return listed.count(entry.first) == 0; });
}

void ReplicaController::recordPromptTokens(const ModelName &model, std::int64_t tokens, Instant now)
{
    auto &demand = m_promptTokenRates[model];
    demand.tokensPerSecond = promptTokensPerSecond(model, now);
    demand.updatedAt = now;
    const double window = toSeconds(m_settings.demandWindow);
    demand.tokensPerSecond += static_cast<double>(tokens) / window;
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
    m_waitingRequests[{model, adapter}] = now;
}

void ReplicaController::proposeAdapterReplica(const ServerName &server, const ModelName &model,
                                              const AdapterName &adapter, Instant now)
{
    m_proposedAdapterReplicas[{model, adapter}] = {server, now};
}

void ReplicaController::recordAdapterUse(const ServerName &server, const ModelName &model,
                                         const AdapterName &adapter, Instant until)
{
    Instant &end = m_adapterUses[{server, {model, adapter}}];
    end = std::max(end, until);
}

ReplicaController::Actions ReplicaController::nextActions(Instant now, bool isNew)
{
    Actions step;
    if (!m_config)
        return step;
    std::erase_if(m_waitingRequests,
                  [now](const auto &need) { return now - need.second > needLifetime; });
    std::erase_if(m_proposedAdapterReplicas,
                  [now](const auto &it) { return now - it.second.second > needLifetime; });
    std::erase_if(m_adapterReplicatedAt,
                  [now](const auto &it) { return now - it.second > reliefPause; });
    std::erase_if(m_adapterUses, [now](const auto &use) { return now - use.second > useMemory; });
    for (const auto &[name, service] : m_config->services) {
        if (!service.engine)
            continue;
        const EngineSpec &spec = *service.engine;
        auto &pacer = m_loadRateLimiters[name];
        if (isNew) {
            pacer = LoadRateLimiter();
            for (auto &[id, book] : enginesOf(name))
                book.resetOrderState();
        }
        pacer.setRate(spec.loadsPerSecond * usedShareOfRate, savedLoads, now);
        for (auto &[id, book] : enginesOf(name)) {
            const auto change = book.nextAdapterOrderEnd();
            if (change && *change <= now) {
                const LoadedModels before = book.loadedModels();
                book.completeAdapterOrders(now);
                addLoadedModelChanges(book, before);
            }
            if (book.needsStatus(now)) {
                book.recordStatusRequest(now);
                step.statusRequests.push_back(id);
            }
            const auto repeat = book.orderToResend(now);
            if (!repeat)
                continue;
            book.recordOrderSent(*repeat, now);
            step.orders.push_back(*repeat);
        }
        planMissingAdapters(name, spec, step, now);
        planAdapterReplicas(name, step, now);
        startPendingLoads(name, step, now);
        if (now >= m_nextPlanAt)
            planReplicas(name, spec, step, now);
        for (const auto &[id, book] : enginesOf(name)) {
            const auto at = book.nextAdapterOrderEnd();
            if (at && (!step.nextAt || *at < *step.nextAt))
                step.nextAt = at;
        }
    }
    if (now >= m_nextPlanAt)
        m_nextPlanAt = now + planInterval;
    return step;
}

void ReplicaController::planMissingAdapters(const ServiceName &service, const EngineSpec &spec,
                                            Actions &step, Instant now)
{
    const auto &books = enginesOf(service);
    for (const auto &need : m_waitingRequests) {
        const AdapterKey &key = need.first;
        if (key.second.isEmpty() || spec.models.count(key.first) == 0)
            continue;
        const bool isComing = std::any_of(books.begin(), books.end(), [&](const auto &entry) {
            return entry.second.isLoading(key.first, key.second)
                || (entry.second.hasLoaded(key.first, key.second)
                    && !entry.second.listed().isLeaving);
        });
        if (!isComing)
            planAdapterLoad(key, books, step, now);
    }
}

void ReplicaController::planAdapterLoad(const AdapterKey &key,
                                        const ReplicaPlanner::EngineTrackers &books, Actions &step,
                                        Instant now)
{
    ServerName bestServer;
    AdapterKey bestVictim;
    bool bestHasRoom = false;
    int bestCount = 0;
    Instant bestUse;
    for (const auto &[id, book] : books) {
        if (book.listed().isLeaving || !book.isReadyForOrder(now) || !book.hasLoaded(key.first, {}))
            continue;
        const auto refused = m_invalidOrders.find({id, key});
        if (refused != m_invalidOrders.end() && now - refused->second < impossiblePause)
            continue;
        if (book.hasRoomFor(key.first, key.second)) {
            if (!bestHasRoom || book.adapterCount() < bestCount) {
                bestServer = id;
                bestHasRoom = true;
                bestCount = book.adapterCount();
            }
            continue;
        }
        if (bestHasRoom)
            continue;
        const auto victim = leastRecentlyUsedAdapter(book, now);
        if (!victim || (!bestServer.isEmpty() && victim->second >= bestUse))
            continue;
        bestServer = id;
        bestVictim = victim->first;
        bestUse = victim->second;
    }
    EngineTracker *book = findEngine(bestServer);
    if (!book)
        return;
    if (bestHasRoom)
        issueOrder(*book, book->makeLoadOrder(key.first, key.second), step, now);
    else
        issueOrder(*book, book->makeUnloadOrder(bestVictim.first, bestVictim.second), step, now);
}

// The adapter whose last request ended first, and when; nothing if all are in use.
std::optional<std::pair<ReplicaController::AdapterKey, Instant>>
ReplicaController::leastRecentlyUsedAdapter(const EngineTracker &book, Instant now) const
{
    std::optional<std::pair<AdapterKey, Instant>> longest;
    for (const auto &[model, adapters] : book.loadedModels()) {
        for (const AdapterName &adapter : adapters) {
            const auto use = m_adapterUses.find({book.listed().id, {model, adapter}});
            const Instant endedAt = use == m_adapterUses.end() ? Instant() : use->second;
            if (now - endedAt < m_settings.adapterEvictionDelay
                || (longest && endedAt >= longest->second))
                continue;
            longest = {{model, adapter}, endedAt};
        }
    }
    return longest;
}

// Further copies of adapters whose engines are busy.
void ReplicaController::planAdapterReplicas(const ServiceName &service, Actions &step, Instant now)
{
    for (const auto &[key, relief] : m_proposedAdapterReplicas) {
        const ServerName &server = relief.first;
        EngineTracker *book = findEngine(server);
        if (!book || m_serviceByServer[server] != service || m_adapterReplicatedAt.count(key) > 0
            || book->listed().isLeaving || !book->isReadyForOrder(now)
            || !book->hasLoaded(key.first, {}) || book->hasLoaded(key.first, key.second))
            continue;
        if (book->hasRoomFor(key.first, key.second)) {
            issueOrder(*book, book->makeLoadOrder(key.first, key.second), step, now);
            m_adapterReplicatedAt[key] = now;
            continue;
        }
        if (const auto victim = leastRecentlyUsedAdapter(*book, now))
            issueOrder(*book, book->makeUnloadOrder(victim->first.first, victim->first.second),
                       step, now);
    }
}

// Loads whose room has just been made.
void ReplicaController::startPendingLoads(const ServiceName &service, Actions &step, Instant now)
{
    for (auto it = m_pendingLoads.begin(); it != m_pendingLoads.end();) {
        EngineTracker *book = findEngine(it->first);
        const bool isObsolete = !book || book->listed().isLeaving || book->hasLoaded(it->second, {})
            || book->isLoading(it->second, {});
        if (isObsolete) {
            it = m_pendingLoads.erase(it);
            continue;
        }
        if (!book->isReadyForOrder(now) || m_serviceByServer[it->first] != service) {
            ++it;
            continue;
        }
        if (!book->hasRoomFor(it->second, {})) {
            it = m_pendingLoads.erase(it);
            continue;
        }
        // The engine may have dropped it from its disk since.
        if (m_localPendingLoads.count(it->first) > 0 && !book->isStoredLocally(it->second)
            && !m_loadRateLimiters[service].tryAcquire(now)) {
            ++it;
            continue;
        }
        issueOrder(*book, book->makeLoadOrder(it->second, {}), step, now);
        it = m_pendingLoads.erase(it);
    }
}

void ReplicaController::planReplicas(const ServiceName &service, const EngineSpec &spec,
                                     Actions &step, Instant now)
{
    auto &books = enginesOf(service);
    auto &pacer = m_loadRateLimiters[service];
    const ReplicaPlanner::DemandByModel work = demandByModel(spec, now);
    const std::set<ModelName> missing = modelsWithoutReplica(spec, books, now);
    std::set<ModelName> wanted;
    for (const auto &[need, at] : m_waitingRequests)
        wanted.insert(need.first);
    for (int i = 0; i < changesPerPlan; ++i) {
        const auto change = m_planner.planNextChange(
            {spec, books, work, m_pendingLoads, missing, wanted, pacer.canStartLoad(now), now});
        if (!change)
            return;
        // Room is made only for a load that may begin at once.
        EngineTracker *book = findEngine(change->server);
        const bool isAtHand = book->isStoredLocally(change->modelToLoad);
        if (!isAtHand && !pacer.tryAcquire(now))
            return;
        if (change->modelToUnload.isEmpty()) {
            issueOrder(*book, book->makeLoadOrder(change->modelToLoad, {}), step, now);
            continue;
        }
        m_pendingLoads[change->server] = change->modelToLoad;
        if (isAtHand)
            m_localPendingLoads.insert(change->server);
        else
            m_localPendingLoads.erase(change->server);
        issueOrder(*book, book->makeUnloadOrder(change->modelToUnload, {}), step, now);
    }
}

// Share of one engine's time, or, where that is more, what the adapters in use take of its slots.
ReplicaPlanner::DemandByModel ReplicaController::demandByModel(const EngineSpec &spec,
                                                               Instant now) const
{
    std::map<ModelName, std::set<AdapterName>> adapters;
    for (const auto &[use, at] : m_adapterUses)
        adapters[use.second.first].insert(use.second.second);
    ReplicaPlanner::DemandByModel work;
    for (const auto &[model, entry] : spec.models) {
        work[model] = promptTokensPerSecond(model, now) / (m_settings.prefillTokensPerMs * 1000);
        const auto used = adapters.find(model);
        if (used == adapters.end() || spec.adapterSlots == 0)
            continue;
        const double engines = static_cast<double>(used->second.size()) / spec.adapterSlots;
        work[model] = std::max(work[model], engines * m_settings.replicas.scaleUpUtilization);
    }
    return work;
}

std::set<ModelName>
ReplicaController::modelsWithoutReplica(const EngineSpec &spec,
                                        const ReplicaPlanner::EngineTrackers &books, Instant now)
{
    std::set<ModelName> held;
    std::set<ModelName> atHand;
    for (const auto &[id, book] : books) {
        if (book.listed().isLeaving)
            continue;
        atHand.insert(book.locallyStoredModels().begin(), book.locallyStoredModels().end());
        for (const auto &[model, adapters] : book.loadedModels()) {
            if (!book.isUnloading(model))
                held.insert(model);
        }
        if (const auto loading = book.loadingModel())
            held.insert(*loading);
    }
    std::set<ModelName> missing;
    for (const auto &entry : spec.models) {
        const ModelName &model = entry.first;
        if (held.count(model) > 0) {
            m_withoutReplicaSince.erase(model);
            continue;
        }
        const Instant since = m_withoutReplicaSince.try_emplace(model, now).first->second;
        const bool isWanted
            = std::any_of(m_waitingRequests.begin(), m_waitingRequests.end(),
                          [&](const auto &need) { return need.first.first == model; });
        const Duration tolerance
            = atHand.count(model) > 0 ? m_settings.localReloadDelay : m_settings.reloadDelay;
        if (isWanted || now - since >= tolerance)
            missing.insert(model);
    }
    return missing;
}

void ReplicaController::issueOrder(EngineTracker &book, const ConditionalEngineOrder &command,
                                   Actions &step, Instant now)
{
    book.recordOrderSent(command, now);
    step.orders.push_back(command);
}

void ReplicaController::onOrderOutcome(const ConditionalEngineOrder &command, OrderOutcome outcome,
                                       Instant now)
{
    EngineTracker *book = findEngine(command.server);
    if (!book)
        return;
    const LoadedModels before = book->loadedModels();
    book->onOrderOutcome(command, outcome, now);
    addLoadedModelChanges(*book, before);
    if (outcome == OrderOutcome::Invalid)
        m_invalidOrders[{command.server, {command.model, command.adapter}}] = now;
    if (outcome == OrderOutcome::Accepted && command.kind == ConditionalEngineOrder::Kind::Load)
        recordAdapterUse(command.server, command.model, command.adapter, now + firstUse);
}

void ReplicaController::onStatus(const ServerName &server, const EngineStatus &status,
                                 Instant askedAt, Instant now)
{
    EngineTracker *book = findEngine(server);
    if (!book)
        return;
    const LoadedModels before = book->loadedModels();
    book->onStatus(status, askedAt, now);
    addLoadedModelChanges(*book, before);
}

void ReplicaController::addLoadedModelChanges(const EngineTracker &book, const LoadedModels &before)
{
    for (const auto &[model, adapters] : before) {
        if (!book.hasLoaded(model, {})) {
            addLoadedModelChange(book, model, {}, false);
            continue;
        }
        for (const AdapterName &adapter : adapters) {
            if (!book.hasLoaded(model, adapter))
                addLoadedModelChange(book, model, adapter, false);
        }
    }
    for (const auto &[model, adapters] : book.loadedModels()) {
        const auto known = before.find(model);
        if (known == before.end())
            addLoadedModelChange(book, model, {}, true);
        for (const AdapterName &adapter : adapters) {
            if (known == before.end() || known->second.count(adapter) == 0)
                addLoadedModelChange(book, model, adapter, true);
        }
    }
}

void ReplicaController::addLoadedModelChange(const EngineTracker &book, const ModelName &model,
                                             const AdapterName &adapter, bool isLoad)
{
    LoadedModelChange notice;
    notice.server = book.listed().id;
    notice.incarnation = book.listed().incarnation;
    notice.acceptedOrders = book.acceptedOrders();
    notice.model = model;
    notice.adapter = adapter;
    notice.isLoad = isLoad;
    m_loadedModelChanges.push_back(notice);
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
    auto &books = enginesOf(service->second);
    const auto it = books.find(server);
    return it == books.end() ? nullptr : &it->second;
}

} // namespace quetzalyoke
