#include "Core/Placement/EngineMemoryTracker.h"

#include <algorithm>

namespace quetzalyoke {

namespace {

void addOrEnlarge(std::vector<HostedModel> &models, const HostedModel &model)
{
    const auto it = std::find_if(models.begin(), models.end(), [&model](const HostedModel &known) {
        return known.isSameVersion(model);
    });
    if (it == models.end())
        models.push_back(model);
    else
        it->memory = std::max(it->memory, model.memory);
}

Megabytes totalMemoryOf(const std::vector<HostedModel> &models)
{
    Megabytes total;
    for (const HostedModel &it : models)
        total += it.memory;
    return total;
}

} // namespace

EngineMemoryTracker::EngineMemoryTracker(Megabytes totalMemory, Duration orderLifetime)
    : m_totalMemory(totalMemory), m_orderLifetime(orderLifetime)
{ }

void EngineMemoryTracker::recordOrderSent(const EngineOrder &order, Instant now)
{
    m_pendingOrders.push_back({order, now, std::nullopt});
}

// An unload order with a response is settled. A load order with a response still counts until a
// report shows its memory.
void EngineMemoryTracker::recordOrderResponse(const EngineOrder &order, Instant now)
{
    for (PendingOrder &it : m_pendingOrders) {
        if (it.order.kind == EngineOrder::Kind::Unload
            && it.order.fencingToken == order.fencingToken)
            it.settledAt = now;
    }
}

// An engine that checks fencing tokens refuses an order after it has accepted a higher token. For
// any other engine, the order's lifetime has to pass.
void EngineMemoryTracker::applyReport(const EngineReport &report, Instant asOf, Instant fencingAsOf)
{
    for (PendingOrder &it : m_pendingOrders) {
        if (m_fencingChecked && report.highestFencingToken > it.order.fencingToken && !it.settledAt)
            it.settledAt = fencingAsOf;
    }
    m_reportedModels = report.models;
    if (report.memory > Megabytes()
        && (m_totalMemory == Megabytes() || report.memory < m_totalMemory))
        m_totalMemory = report.memory;
    std::erase_if(m_pendingOrders, [&](const PendingOrder &it) { return isSettled(it, asOf); });
}

// Only a report that is no older than the end of the order shows the effect of the order.
bool EngineMemoryTracker::isSettled(const PendingOrder &pending, Instant asOf) const
{
    if (pending.settledAt && asOf >= *pending.settledAt)
        return true;
    return asOf >= pending.sentAt + m_orderLifetime;
}

// Two loads of the same version take its memory once, because an engine keeps one replica of it.
std::vector<HostedModel> EngineMemoryTracker::possibleModels() const
{
    std::vector<HostedModel> models;
    for (const HostedModel &it : m_reportedModels)
        addOrEnlarge(models, it);
    for (const PendingOrder &it : m_pendingOrders) {
        if (it.order.kind == EngineOrder::Kind::Load)
            addOrEnlarge(models, it.order.model);
    }
    return models;
}

bool EngineMemoryTracker::fits(const HostedModel &model) const
{
    std::vector<HostedModel> models = possibleModels();
    addOrEnlarge(models, model);
    return totalMemoryOf(models) <= m_totalMemory;
}

bool EngineMemoryTracker::mayBeRemoved(const HostedModel &model) const
{
    return std::any_of(m_pendingOrders.begin(), m_pendingOrders.end(),
                       [&model](const PendingOrder &it) {
                           if (it.order.model.name != model.name)
                               return false;
                           return it.order.kind == EngineOrder::Kind::Unload
                               || !it.order.model.isSameVersion(model);
                       });
}

bool EngineMemoryTracker::mayChangeSize(const HostedModel &model) const
{
    return std::any_of(
        m_pendingOrders.begin(), m_pendingOrders.end(), [&model](const PendingOrder &it) {
            return it.order.kind == EngineOrder::Kind::Load && it.order.model.isSameVersion(model)
                && it.order.model.memory != model.memory;
        });
}

Megabytes EngineMemoryTracker::worstCaseMemory() const
{
    return totalMemoryOf(possibleModels());
}

} // namespace quetzalyoke
