#include "Serving/Placement/EngineTracker.h"

#include <algorithm>

namespace quetzalyoke {

namespace {

// Engines' reports are some hundred milliseconds old.
constexpr Duration reportLag = std::chrono::milliseconds(300);

// By then the platform's list shows a change: a heartbeat and its own lag.
constexpr Duration listLag = std::chrono::seconds(4);

// Between two status requests to one engine.
constexpr Duration statusPause = std::chrono::milliseconds(250);

// An engine that refuses an order because of another one is asked and tried again after it.
constexpr Duration conflictPause = std::chrono::milliseconds(150);

// An order without an answer is sent again after it.
constexpr Duration repeatPause = std::chrono::milliseconds(100);

// Unloading waits for running requests; the engine is asked from here on.
constexpr Duration unloadTime = std::chrono::milliseconds(300);

// An adapter takes 5 to 10 ms, longer while many are loaded.
constexpr Duration adapterTime = std::chrono::milliseconds(12);

// A finished order is forgotten this long after its expected end, whatever reports say.
constexpr Duration longestOverrun = std::chrono::seconds(8);

} // namespace

const char *orderOutcomeText(OrderOutcome outcome)
{
    switch (outcome) {
    case OrderOutcome::Accepted:
        return "accepted";
    case OrderOutcome::AlreadyDone:
        return "already_holds";
    case OrderOutcome::Conflict:
        return "conflict";
    case OrderOutcome::WrongServer:
        return "wrong_server";
    case OrderOutcome::Invalid:
        return "impossible";
    case OrderOutcome::Unknown:
        return "unknown";
    case OrderOutcome::NotSent:
        return "not_sent";
    }
    return "unknown";
}

EngineTracker::EngineTracker(const ListedServer &listed, std::shared_ptr<const EngineSpec> spec)
    : m_listed(listed), m_spec(std::move(spec)), m_loadedModels(listed.loadedModels),
      m_locallyStoredModels(listed.locallyStoredModels)
{ }

void EngineTracker::updateListed(const ListedServer &listed)
{
    m_listed = listed;
    // A holder knows its own orders better than a list that may lag by as long as the store is
    // away.
    if (m_isOrderCountKnown || m_unansweredOrder || m_runningOrder)
        return;
    m_loadedModels = listed.loadedModels;
    m_locallyStoredModels = listed.locallyStoredModels;
}

void EngineTracker::resetOrderState()
{
    m_isOrderCountKnown = false;
    m_unansweredOrder.reset();
    m_runningOrder.reset();
    m_isOrderInFlight = false;
    m_needsStatus = true;
}

void EngineTracker::onStatus(const EngineStatus &status, Instant askedAt, Instant now)
{
    // A report may show the engine as it was before the latest order.
    const bool isOld = m_isOrderCountKnown && status.acceptedOrders < m_acceptedOrders
        && askedAt < m_orderAcceptedAt + listLag;
    if (askedAt < m_orderAcceptedAt + reportLag || isOld) {
        m_nextStatusAt = now + statusPause;
        return;
    }
    m_locallyStoredModels = status.locallyStoredModels;
    if (!m_isOrderCountKnown)
        m_acceptedOrders = status.acceptedOrders;
    m_isOrderCountKnown = true;
    if (m_unansweredOrder) {
        if (m_isOrderInFlight || askedAt < m_unansweredSince + reportLag)
            return;
        if (status.acceptedOrders == m_acceptedOrders) {
            m_needsStatus = false; // nothing came of it yet; it is sent again
            return;
        }
        // One of the orders that named this count was carried out, and only this one did.
        const ConditionalEngineOrder command = *m_unansweredOrder;
        m_unansweredOrder.reset();
        applyAccepted(command, now);
    }
    m_needsStatus = false;
    m_acceptedOrders = status.acceptedOrders;
    const bool isBusy = status.isExecutingOrder || !status.loadingAdapters.empty();
    updateLoadedModels(status.loadedModels, isBusy, now);
    // An order of another holder is under way: what it brings is not among the holdings yet.
    if (isBusy && !m_runningOrder) {
        m_needsStatus = true;
        m_nextStatusAt = now + statusPause;
    }
}

// Holdings as the engine showed them with all accepted orders taken into account.
void EngineTracker::updateLoadedModels(const LoadedModels &holdings, bool isBusy, Instant now)
{
    if (m_runningOrder) {
        const bool isLoad = m_runningOrder->kind == ConditionalEngineOrder::Kind::Load;
        const auto it = holdings.find(m_runningOrder->model);
        const bool isThere = it != holdings.end()
            && (m_runningOrder->adapter.isEmpty() || it->second.count(m_runningOrder->adapter) > 0);
        const bool isDone = isThere == isLoad && !isBusy;
        if (!isDone && now < m_runningUntil + longestOverrun) {
            m_needsStatus = true;
            m_nextStatusAt = std::max(m_nextStatusAt, now + statusPause);
            return;
        }
        m_runningOrder.reset();
    }
    m_loadedModels = holdings;
}

void EngineTracker::onOrderOutcome(const ConditionalEngineOrder &command, OrderOutcome outcome,
                                   Instant now)
{
    m_isOrderInFlight = false;
    if (!m_unansweredOrder)
        return;
    switch (outcome) {
    case OrderOutcome::Accepted:
        m_unansweredOrder.reset();
        applyAccepted(command, now);
        return;
    case OrderOutcome::AlreadyDone:
        m_unansweredOrder.reset();
        if (command.kind == ConditionalEngineOrder::Kind::Load) {
            auto &adapters = m_loadedModels[command.model];
            if (!command.adapter.isEmpty())
                adapters.insert(command.adapter);
        } else {
            // An adapter that no request uses is unloaded at once.
            applyAccepted(command, now);
            m_runningOrder.reset();
        }
        // Whether it counted as accepted is only known from the engine.
        m_needsStatus = true;
        m_nextStatusAt = now + reportLag;
        m_orderAcceptedAt = now;
        return;
    case OrderOutcome::Conflict:
        // Without an earlier try whose answer was lost, nothing can come of it any more.
        if (!m_mayHaveTakenEffect)
            m_unansweredOrder.reset();
        m_needsStatus = true;
        m_nextStatusAt = std::max(now, m_unansweredSince + reportLag);
        m_retryAt = now + conflictPause;
        return;
    case OrderOutcome::WrongServer:
    case OrderOutcome::Invalid:
        m_unansweredOrder.reset();
        m_needsStatus = true;
        m_nextStatusAt = now + reportLag;
        return;
    case OrderOutcome::NotSent:
        if (!m_mayHaveTakenEffect)
            m_unansweredOrder.reset();
        m_retryAt = now + repeatPause;
        return;
    case OrderOutcome::Unknown:
        m_mayHaveTakenEffect = true;
        m_retryAt = now + repeatPause;
        return;
    }
}

void EngineTracker::applyAccepted(const ConditionalEngineOrder &command, Instant now)
{
    m_acceptedOrders = command.expectedOrderCount + 1;
    m_orderAcceptedAt = now;
    m_runningOrder = command;
    const bool isLoad = command.kind == ConditionalEngineOrder::Kind::Load;
    if (!command.adapter.isEmpty()) {
        // Requests for an adapter that is on its way would be turned down.
        m_runningUntil = now + (isLoad ? adapterTime : Duration(0));
        if (!isLoad)
            completeAdapterOrders(now);
        return;
    }
    if (isLoad) {
        m_runningUntil = now + loadDurationOf(command.model);
    } else {
        m_runningUntil = now + unloadTime;
        m_loadedModels.erase(command.model);
    }
    m_needsStatus = true;
    m_nextStatusAt = now + reportLag;
}

void EngineTracker::completeAdapterOrders(Instant now)
{
    if (!m_runningOrder || m_runningOrder->adapter.isEmpty() || now < m_runningUntil)
        return;
    const auto model = m_loadedModels.find(m_runningOrder->model);
    if (model != m_loadedModels.end()) {
        if (m_runningOrder->kind == ConditionalEngineOrder::Kind::Load)
            model->second.insert(m_runningOrder->adapter);
        else
            model->second.erase(m_runningOrder->adapter);
    }
    m_runningOrder.reset();
}

std::optional<Instant> EngineTracker::nextAdapterOrderEnd() const
{
    if (!m_runningOrder || m_runningOrder->adapter.isEmpty())
        return {};
    return m_runningUntil;
}

bool EngineTracker::isReadyForOrder(Instant now) const
{
    return m_isOrderCountKnown && !m_unansweredOrder && !m_runningOrder && !m_needsStatus
        && now >= m_retryAt && !refusesOrders(now);
}

std::optional<ConditionalEngineOrder> EngineTracker::orderToResend(Instant now) const
{
    if (refusesOrders(now) || !m_unansweredOrder || m_isOrderInFlight || now < m_retryAt
        || (m_needsStatus && now < m_retryAt + reportLag))
        return {};
    return m_unansweredOrder;
}

bool EngineTracker::needsStatus(Instant now) const
{
    return m_needsStatus && !refusesOrders(now) && now >= m_nextStatusAt
        && now - m_statusRequestedAt >= statusPause;
}

ConditionalEngineOrder EngineTracker::makeLoadOrder(const ModelName &model,
                                                    const AdapterName &adapter) const
{
    ConditionalEngineOrder command;
    command.kind = ConditionalEngineOrder::Kind::Load;
    command.server = m_listed.id;
    command.model = model;
    command.adapter = adapter;
    command.expectedOrderCount = m_acceptedOrders;
    return command;
}

ConditionalEngineOrder EngineTracker::makeUnloadOrder(const ModelName &model,
                                                      const AdapterName &adapter) const
{
    ConditionalEngineOrder command = makeLoadOrder(model, adapter);
    command.kind = ConditionalEngineOrder::Kind::Unload;
    return command;
}

void EngineTracker::recordOrderSent(const ConditionalEngineOrder &command, Instant now)
{
    if (!m_unansweredOrder) {
        m_unansweredSince = now;
        m_mayHaveTakenEffect = false;
    }
    m_unansweredOrder = command;
    m_isOrderInFlight = true;
    m_needsStatus = false;
}

Duration EngineTracker::loadDurationOf(const ModelName &model) const
{
    const auto it = m_spec->models.find(model);
    if (it == m_spec->models.end())
        return Duration(0);
    return isStoredLocally(model) ? it->second.localLoadTime : it->second.weightStoreLoadTime;
}

double EngineTracker::megabytesOf(const ModelName &model) const
{
    const auto it = m_spec->models.find(model);
    // A model that the configuration doesn't know may take all there is.
    return it == m_spec->models.end() ? m_spec->megabytes : it->second.megabytes;
}

double EngineTracker::adapterMegabytesOf(const ModelName &model) const
{
    const auto it = m_spec->models.find(model);
    return it == m_spec->models.end() ? 0 : it->second.adapterMegabytes;
}

std::array<const ConditionalEngineOrder *, 2> EngineTracker::unfinishedOrders() const
{
    return {m_unansweredOrder ? &*m_unansweredOrder : nullptr,
            m_runningOrder ? &*m_runningOrder : nullptr};
}

int EngineTracker::adapterCount() const
{
    std::size_t n = 0;
    for (const auto &[model, adapters] : m_loadedModels)
        n += adapters.size();
    for (const auto *command : unfinishedOrders()) {
        if (command && command->kind == ConditionalEngineOrder::Kind::Load
            && !command->adapter.isEmpty())
            ++n;
    }
    return static_cast<int>(n);
}

double EngineTracker::freeMegabytes() const
{
    double used = 0;
    for (const auto &[model, adapters] : m_loadedModels)
        used += megabytesOf(model)
            + adapterMegabytesOf(model) * static_cast<double>(adapters.size());
    // Loads that are open or under way, and unloads that aren't finished, still take memory.
    for (const auto *command : unfinishedOrders()) {
        if (!command)
            continue;
        if (!command->adapter.isEmpty()) {
            used += adapterMegabytesOf(command->model);
            continue;
        }
        if (m_loadedModels.count(command->model) == 0)
            used += megabytesOf(command->model);
    }
    return m_spec->megabytes - used;
}

bool EngineTracker::hasRoomFor(const ModelName &model, const AdapterName &adapter) const
{
    if (adapter.isEmpty())
        return megabytesOf(model) <= freeMegabytes();
    return adapterCount() < m_spec->adapterSlots && adapterMegabytesOf(model) <= freeMegabytes();
}

bool EngineTracker::hasLoaded(const ModelName &model, const AdapterName &adapter) const
{
    const auto it = m_loadedModels.find(model);
    if (it == m_loadedModels.end())
        return false;
    return adapter.isEmpty() || it->second.count(adapter) > 0;
}

bool EngineTracker::isUnloading(const ModelName &model) const
{
    return m_unansweredOrder && m_unansweredOrder->kind == ConditionalEngineOrder::Kind::Unload
        && m_unansweredOrder->adapter.isEmpty() && m_unansweredOrder->model == model;
}

std::optional<ModelName> EngineTracker::loadingModel() const
{
    for (const auto *command : unfinishedOrders()) {
        if (command && command->kind == ConditionalEngineOrder::Kind::Load
            && command->adapter.isEmpty())
            return command->model;
    }
    return {};
}

bool EngineTracker::isLoading(const ModelName &model, const AdapterName &adapter) const
{
    for (const auto *command : unfinishedOrders()) {
        if (command && command->kind == ConditionalEngineOrder::Kind::Load
            && command->model == model && command->adapter == adapter)
            return true;
    }
    return false;
}

} // namespace quetzalyoke
