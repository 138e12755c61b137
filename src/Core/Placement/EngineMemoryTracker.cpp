#include "Core/Placement/EngineMemoryTracker.h"

#include <algorithm>

namespace quetzalyoke {

namespace {

void addOnce(std::vector<HostedModel> &holdings, const HostedModel &holding)
{
    const auto it
        = std::find_if(holdings.begin(), holdings.end(), [&holding](const HostedModel &known) {
              return known.isSameVersion(holding);
          });
    if (it == holdings.end())
        holdings.push_back(holding);
    else
        it->memory = std::max(it->memory, holding.memory);
}

Megabytes sum(const std::vector<HostedModel> &holdings)
{
    Megabytes total;
    for (const HostedModel &it : holdings)
        total += it.memory;
    return total;
}

} // namespace

EngineMemoryTracker::EngineMemoryTracker(Megabytes total, Duration orderLifetime)
    : m_total(total), m_orderLifetime(orderLifetime)
{ }

void EngineMemoryTracker::recordOrderSent(const EngineOrder &order, Instant now)
{
    m_pendingOrders.push_back({order, now, std::nullopt});
}

// An answered unload is over. An answered load still counts until a report shows its memory.
void EngineMemoryTracker::recordOrderResponse(const EngineOrder &order, Instant now)
{
    for (PendingOrder &it : m_pendingOrders) {
        if (it.order.kind == EngineOrder::Kind::Unload
            && it.order.fencingToken == order.fencingToken)
            it.settledAt = now;
    }
}

// An engine that took a higher number refuses the order from then on; any other engine must be
// waited out.
void EngineMemoryTracker::applyReport(const EngineReport &report, Instant asOf, Instant fencingAsOf)
{
    for (PendingOrder &it : m_pendingOrders) {
        if (m_fencingChecked && report.highestFencingToken > it.order.fencingToken && !it.settledAt)
            it.settledAt = fencingAsOf;
    }
    m_reportedModels = report.models;
    if (report.memory > Megabytes() && (m_total == Megabytes() || report.memory < m_total))
        m_total = report.memory;
    std::erase_if(m_pendingOrders, [&](const PendingOrder &it) { return isSettled(it, asOf); });
}

// What the order did shows only in holdings that are no older than its end.
bool EngineMemoryTracker::isSettled(const PendingOrder &pending, Instant asOf) const
{
    if (pending.settledAt && asOf >= *pending.settledAt)
        return true;
    return asOf >= pending.sentAt + m_orderLifetime;
}

// Two loads of the same version take its memory once, as an engine keeps one of each.
std::vector<HostedModel> EngineMemoryTracker::possibleModels() const
{
    std::vector<HostedModel> holdings;
    for (const HostedModel &it : m_reportedModels)
        addOnce(holdings, it);
    for (const PendingOrder &it : m_pendingOrders) {
        if (it.order.kind == EngineOrder::Kind::Load)
            addOnce(holdings, it.order.model);
    }
    return holdings;
}

bool EngineMemoryTracker::fits(const HostedModel &holding) const
{
    std::vector<HostedModel> holdings = possibleModels();
    addOnce(holdings, holding);
    return sum(holdings) <= m_total;
}

bool EngineMemoryTracker::mayBeRemoved(const HostedModel &holding) const
{
    return std::any_of(m_pendingOrders.begin(), m_pendingOrders.end(),
                       [&holding](const PendingOrder &it) {
                           if (it.order.model.name != holding.name)
                               return false;
                           return it.order.kind == EngineOrder::Kind::Unload
                               || !it.order.model.isSameVersion(holding);
                       });
}

bool EngineMemoryTracker::mayChangeSize(const HostedModel &holding) const
{
    return std::any_of(
        m_pendingOrders.begin(), m_pendingOrders.end(), [&holding](const PendingOrder &it) {
            return it.order.kind == EngineOrder::Kind::Load && it.order.model.isSameVersion(holding)
                && it.order.model.memory != holding.memory;
        });
}

Megabytes EngineMemoryTracker::worstCaseMemory() const
{
    return sum(possibleModels());
}

} // namespace quetzalyoke
