#include "Core/Placement/MemoryLedger.h"

#include <algorithm>

namespace quetzalyoke {

namespace {

void addOnce(std::vector<Holding> &holdings, const Holding &holding)
{
    const auto it
        = std::find_if(holdings.begin(), holdings.end(),
                       [&holding](const Holding &known) { return known.isSame(holding); });
    if (it == holdings.end())
        holdings.push_back(holding);
    else
        it->memory = std::max(it->memory, holding.memory);
}

Megabytes sum(const std::vector<Holding> &holdings)
{
    Megabytes total;
    for (const Holding &it : holdings)
        total += it.memory;
    return total;
}

} // namespace

MemoryLedger::MemoryLedger(Megabytes total, Duration orderLifetime)
    : m_total(total), m_orderLifetime(orderLifetime)
{ }

void MemoryLedger::noteSent(const EngineOrder &order, Instant now)
{
    m_pending.push_back({order, now, std::nullopt});
}

// An answered unload is over. An answered load still counts until a report shows its memory.
void MemoryLedger::noteAnswered(const EngineOrder &order, Instant now)
{
    for (Pending &it : m_pending) {
        if (it.order.kind == EngineOrder::Kind::Unload && it.order.fencing == order.fencing)
            it.overSince = now;
    }
}

// An engine that took a higher number refuses the order from then on; any other engine must be
// waited out.
void MemoryLedger::takeReport(const EngineReport &report, Instant asOf, Instant fencingAsOf)
{
    for (Pending &it : m_pending) {
        if (m_fencingChecked && report.fencing > it.order.fencing && !it.overSince)
            it.overSince = fencingAsOf;
    }
    m_held = report.holdings;
    if (report.memory > Megabytes() && (m_total == Megabytes() || report.memory < m_total))
        m_total = report.memory;
    std::erase_if(m_pending, [&](const Pending &it) { return isSettled(it, asOf); });
}

// What the order did shows only in holdings that are no older than its end.
bool MemoryLedger::isSettled(const Pending &pending, Instant asOf) const
{
    if (pending.overSince && asOf >= *pending.overSince)
        return true;
    return asOf >= pending.sentAt + m_orderLifetime;
}

// Two loads of the same version take its memory once, as an engine keeps one of each.
std::vector<Holding> MemoryLedger::possible() const
{
    std::vector<Holding> holdings;
    for (const Holding &it : m_held)
        addOnce(holdings, it);
    for (const Pending &it : m_pending) {
        if (it.order.kind == EngineOrder::Kind::Load)
            addOnce(holdings, it.order.holding);
    }
    return holdings;
}

bool MemoryLedger::fits(const Holding &holding) const
{
    std::vector<Holding> holdings = possible();
    addOnce(holdings, holding);
    return sum(holdings) <= m_total;
}

bool MemoryLedger::mayGo(const Holding &holding) const
{
    return std::any_of(m_pending.begin(), m_pending.end(), [&holding](const Pending &it) {
        if (it.order.holding.name != holding.name)
            return false;
        return it.order.kind == EngineOrder::Kind::Unload || !it.order.holding.isSame(holding);
    });
}

bool MemoryLedger::mayDiffer(const Holding &holding) const
{
    return std::any_of(m_pending.begin(), m_pending.end(), [&holding](const Pending &it) {
        return it.order.kind == EngineOrder::Kind::Load && it.order.holding.isSame(holding)
            && it.order.holding.memory != holding.memory;
    });
}

Megabytes MemoryLedger::worstCase() const
{
    return sum(possible());
}

} // namespace quetzalyoke
