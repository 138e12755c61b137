#ifndef QUETZALYOKE_TEST_FAKEENGINE_H
#define QUETZALYOKE_TEST_FAKEENGINE_H

#include "Core/Placement/EngineOrder.h"

#include <algorithm>
#include <functional>
#include <map>
#include <string>

namespace quetzalyoke::test {

/// \brief An engine on a virtual clock that keeps its own account of its memory.
class FakeEngine
{
public:
    FakeEngine(Megabytes memory, bool checksFencing, Duration loadTime)
        : m_memory(memory), m_checksFencing(checksFencing), m_loadTime(loadTime)
    { }

    /// Called with each order that takes something away.
    std::function<void(const EngineOrder &order)> unloaded;

    void take(const EngineOrder &order, Instant now)
    {
        if (m_checksFencing && order.fencing < m_fencing)
            return;
        m_fencing = std::max(m_fencing, order.fencing);
        const auto it = m_holdings.find(order.holding.name);
        const bool held = it != m_holdings.end();
        if (order.kind == EngineOrder::Kind::Unload) {
            if (held)
                drop(it, order);
            return;
        }
        if (held && it->second.holding.version == order.holding.version)
            return;
        if (used() + order.holding.memory > m_memory) {
            overcommitted = true;
            return;
        }
        if (held)
            drop(it, order);
        m_holdings[order.holding.name] = {order.holding, now + m_loadTime};
    }

    /// Forgets everything, as after a crash.
    void restart()
    {
        m_holdings.clear();
        m_fencing = FencingNumber();
    }

    EngineReport report(Instant now) const
    {
        EngineReport report;
        report.memory = m_memory;
        report.fencing = m_fencing;
        for (const auto &[name, entry] : m_holdings) {
            report.holdings.push_back(entry.holding);
            report.holdings.back().ready = entry.readyAt <= now;
        }
        return report;
    }

    Megabytes used() const
    {
        Megabytes sum;
        for (const auto &[name, entry] : m_holdings)
            sum += entry.holding.memory;
        return sum;
    }

    bool overcommitted = false; ///< An order came that the memory couldn't take.

private:
    struct Entry
    {
        Holding holding;
        Instant readyAt;
    };

    void drop(std::map<std::string, Entry>::iterator it, const EngineOrder &order)
    {
        m_holdings.erase(it);
        if (unloaded)
            unloaded(order);
    }

    Megabytes m_memory;
    bool m_checksFencing;
    Duration m_loadTime;
    std::map<std::string, Entry> m_holdings;
    FencingNumber m_fencing;
};

} // namespace quetzalyoke::test

#endif
