#include "Core/MemoryLedger.h"

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
    m_pending.push_back({order, now});
}

// An answered unload is over. An answered load still counts until a report shows its memory.
void MemoryLedger::noteAnswered(const EngineOrder &order)
{
    std::erase_if(m_pending, [&order](const Pending &it) {
        return it.order.kind == EngineOrder::Kind::Unload && it.order.fencing == order.fencing;
    });
}

void MemoryLedger::takeReport(const EngineReport &report, Instant asOf)
{
    m_held = report.holdings;
    if (report.memory > Megabytes() && (m_total == Megabytes() || report.memory < m_total))
        m_total = report.memory;
    std::erase_if(m_pending, [&](const Pending &it) { return isSettled(it, report, asOf); });
}

// An engine that took a higher number refuses the order from then on; any other engine must be
// waited out.
bool MemoryLedger::isSettled(const Pending &pending, const EngineReport &report, Instant asOf) const
{
    if (m_fencingChecked && report.fencing > pending.order.fencing)
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

Megabytes MemoryLedger::worstCase() const
{
    return sum(possible());
}

} // namespace quetzalyoke
