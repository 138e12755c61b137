#include "Serving/Placement/EngineTracker.h"

#include <algorithm>

namespace quetzalyoke {

namespace {

// Status reports of engines are up to this old.
constexpr Duration statusLag = std::chrono::milliseconds(300);

// Time until the platform's list shows a change: a heartbeat interval and the lag of the list.
constexpr Duration listLag = std::chrono::seconds(4);

// Minimum interval between two status requests to one engine.
constexpr Duration statusInterval = std::chrono::milliseconds(250);

// Delay before the next order to an engine that refused one because of another order.
constexpr Duration conflictRetryDelay = std::chrono::milliseconds(150);

// Delay before an order without a response is sent again.
constexpr Duration resendDelay = std::chrono::milliseconds(100);

// Expected duration of an unload, which waits for running requests. The engine is asked from then
// on.
constexpr Duration unloadDuration = std::chrono::milliseconds(300);

// Loading an adapter takes 5 to 10 ms, longer while many are being loaded.
constexpr Duration adapterLoadDuration = std::chrono::milliseconds(12);

// A running order is given up this long after its expected end, whatever status reports say.
constexpr Duration maxOverrun = std::chrono::seconds(8);

// After a request without a permit, an engine's limit counts as insufficient for this long.
constexpr Duration overDemandRetention = std::chrono::seconds(3);

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

bool EngineTracker::servesDemand(Instant now) const
{
    return !isWithdrawn() && (!m_overDemandedAt || now - *m_overDemandedAt >= overDemandRetention);
}

EngineTracker::EngineTracker(const ListedServer &listed, std::shared_ptr<const EngineSpec> spec)
    : m_listed(listed), m_spec(std::move(spec)), m_loadedModels(listed.loadedModels),
      m_locallyStoredModels(listed.locallyStoredModels)
{ }

void EngineTracker::updateListed(const ListedServer &listed)
{
    m_listed = listed;
    // The lease holder knows its own orders better than the list, which lags while the store is
    // unreachable.
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
    // A status may show the engine as it was before the latest order.
    const bool isOutdated = m_isOrderCountKnown && status.acceptedOrders < m_acceptedOrders
        && askedAt < m_orderAcceptedAt + listLag;
    if (askedAt < m_orderAcceptedAt + statusLag || isOutdated) {
        m_nextStatusAt = now + statusInterval;
        return;
    }
    m_locallyStoredModels = status.locallyStoredModels;
    if (!m_isOrderCountKnown)
        m_acceptedOrders = status.acceptedOrders;
    m_isOrderCountKnown = true;
    if (m_unansweredOrder) {
        if (m_isOrderInFlight || askedAt < m_unansweredSince + statusLag)
            return;
        if (status.acceptedOrders == m_acceptedOrders) {
            m_needsStatus = false; // the order has not been executed yet and is sent again
            return;
        }
        // An order with this count was executed, and only the unanswered order stated it.
        const ConditionalEngineOrder order = *m_unansweredOrder;
        m_unansweredOrder.reset();
        applyAccepted(order, now);
    }
    m_needsStatus = false;
    m_acceptedOrders = status.acceptedOrders;
    const bool isBusy = status.isExecutingOrder || !status.loadingAdapters.empty();
    updateLoadedModels(status.loadedModels, isBusy, now);
    // The engine executes an order of another lease holder, whose result isn't in loadedModels yet.
    if (isBusy && !m_runningOrder) {
        m_needsStatus = true;
        m_nextStatusAt = now + statusInterval;
    }
}

// \a reportedModels were reported after all accepted orders, so they replace what is known unless
// the running order is still being executed.
void EngineTracker::updateLoadedModels(const LoadedModels &reportedModels, bool isBusy, Instant now)
{
    if (m_runningOrder) {
        const bool isLoad = m_runningOrder->kind == ConditionalEngineOrder::Kind::Load;
        const auto it = reportedModels.find(m_runningOrder->model);
        const bool isLoadedNow = it != reportedModels.end()
            && (m_runningOrder->adapter.isEmpty() || it->second.count(m_runningOrder->adapter) > 0);
        const bool isDone = isLoadedNow == isLoad && !isBusy;
        if (!isDone && now < m_runningUntil + maxOverrun) {
            m_needsStatus = true;
            m_nextStatusAt = std::max(m_nextStatusAt, now + statusInterval);
            return;
        }
        m_runningOrder.reset();
    }
    m_loadedModels = reportedModels;
}

void EngineTracker::onOrderOutcome(const ConditionalEngineOrder &order, OrderOutcome outcome,
                                   Instant now)
{
    m_isOrderInFlight = false;
    if (!m_unansweredOrder)
        return;
    switch (outcome) {
    case OrderOutcome::Accepted:
        m_unansweredOrder.reset();
        applyAccepted(order, now);
        return;
    case OrderOutcome::AlreadyDone:
        m_unansweredOrder.reset();
        if (order.kind == ConditionalEngineOrder::Kind::Load) {
            auto &adapters = m_loadedModels[order.model];
            if (!order.adapter.isEmpty())
                adapters.insert(order.adapter);
        } else {
            // Unloading an adapter that no request uses takes no time.
            applyAccepted(order, now);
            m_runningOrder.reset();
        }
        // Only the engine's status tells whether it counted the order as accepted.
        m_needsStatus = true;
        m_nextStatusAt = now + statusLag;
        m_orderAcceptedAt = now;
        return;
    case OrderOutcome::Conflict:
        // Unless the response to an earlier attempt was lost, the order can't be executed any more.
        if (!m_mayHaveTakenEffect)
            m_unansweredOrder.reset();
        m_needsStatus = true;
        m_nextStatusAt = std::max(now, m_unansweredSince + statusLag);
        m_retryAt = now + conflictRetryDelay;
        return;
    case OrderOutcome::WrongServer:
    case OrderOutcome::Invalid:
        m_unansweredOrder.reset();
        m_needsStatus = true;
        m_nextStatusAt = now + statusLag;
        return;
    case OrderOutcome::NotSent:
        if (!m_mayHaveTakenEffect)
            m_unansweredOrder.reset();
        m_retryAt = now + resendDelay;
        return;
    case OrderOutcome::Unknown:
        m_mayHaveTakenEffect = true;
        m_retryAt = now + resendDelay;
        return;
    }
}

void EngineTracker::applyAccepted(const ConditionalEngineOrder &order, Instant now)
{
    m_acceptedOrders = order.expectedOrderCount + 1;
    m_orderAcceptedAt = now;
    m_runningOrder = order;
    const bool isLoad = order.kind == ConditionalEngineOrder::Kind::Load;
    if (!order.adapter.isEmpty()) {
        // The adapter counts as loaded only after this time, since the engine would refuse requests
        // for it before.
        m_runningUntil = now + (isLoad ? adapterLoadDuration : Duration(0));
        if (!isLoad)
            completeAdapterOrders(now);
        return;
    }
    if (isLoad) {
        m_runningUntil = now + loadDurationOf(order.model);
    } else {
        m_runningUntil = now + unloadDuration;
        m_loadedModels.erase(order.model);
    }
    m_needsStatus = true;
    m_nextStatusAt = now + statusLag;
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
        || (m_needsStatus && now < m_retryAt + statusLag))
        return {};
    return m_unansweredOrder;
}

bool EngineTracker::needsStatus(Instant now) const
{
    return m_needsStatus && !refusesOrders(now) && now >= m_nextStatusAt
        && now - m_statusRequestedAt >= statusInterval;
}

ConditionalEngineOrder EngineTracker::makeLoadOrder(const ModelName &model,
                                                    const AdapterName &adapter) const
{
    ConditionalEngineOrder order;
    order.kind = ConditionalEngineOrder::Kind::Load;
    order.server = m_listed.id;
    order.model = model;
    order.adapter = adapter;
    order.expectedOrderCount = m_acceptedOrders;
    return order;
}

ConditionalEngineOrder EngineTracker::makeUnloadOrder(const ModelName &model,
                                                      const AdapterName &adapter) const
{
    ConditionalEngineOrder order = makeLoadOrder(model, adapter);
    order.kind = ConditionalEngineOrder::Kind::Unload;
    return order;
}

void EngineTracker::recordOrderSent(const ConditionalEngineOrder &order, Instant now)
{
    if (!m_unansweredOrder) {
        m_unansweredSince = now;
        m_mayHaveTakenEffect = false;
    }
    m_unansweredOrder = order;
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
    // A model that isn't configured may take the whole memory.
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
    for (const auto *order : unfinishedOrders()) {
        if (order && order->kind == ConditionalEngineOrder::Kind::Load && !order->adapter.isEmpty())
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
    // Unanswered and running loads, and unloads that aren't complete, still take memory.
    for (const auto *order : unfinishedOrders()) {
        if (!order)
            continue;
        if (!order->adapter.isEmpty()) {
            used += adapterMegabytesOf(order->model);
            continue;
        }
        if (m_loadedModels.count(order->model) == 0)
            used += megabytesOf(order->model);
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
    for (const auto *order : unfinishedOrders()) {
        if (order && order->kind == ConditionalEngineOrder::Kind::Load && order->adapter.isEmpty())
            return order->model;
    }
    return {};
}

bool EngineTracker::isLoading(const ModelName &model, const AdapterName &adapter) const
{
    for (const auto *order : unfinishedOrders()) {
        if (order && order->kind == ConditionalEngineOrder::Kind::Load && order->model == model
            && order->adapter == adapter)
            return true;
    }
    return false;
}

} // namespace quetzalyoke
