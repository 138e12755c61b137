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
    std::function<void(const EngineOrder &order)> onUnload;

    void execute(const EngineOrder &order, Instant now)
    {
        if (m_checksFencing && order.fencingToken < m_fencing)
            return;
        m_fencing = std::max(m_fencing, order.fencingToken);
        const auto it = m_holdings.find(order.model.name);
        const bool held = it != m_holdings.end();
        if (order.kind == EngineOrder::Kind::Unload) {
            if (held)
                drop(it, order);
            return;
        }
        if (held && it->second.holding.version == order.model.version)
            return;
        if (usedMemory() + order.model.memory > m_memory) {
            overcommitted = true;
            return;
        }
        if (held)
            drop(it, order);
        m_holdings[order.model.name] = {order.model, now + m_loadTime};
    }

    /// Forgets everything, as after a crash.
    void restart()
    {
        m_holdings.clear();
        m_fencing = FencingToken();
    }

    EngineReport report(Instant now) const
    {
        EngineReport report;
        report.memory = m_memory;
        report.highestFencingToken = m_fencing;
        for (const auto &[name, entry] : m_holdings) {
            report.models.push_back(entry.holding);
            report.models.back().isReady = entry.readyAt <= now;
        }
        return report;
    }

    Megabytes usedMemory() const
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
        HostedModel holding;
        Instant readyAt;
    };

    void drop(std::map<std::string, Entry>::iterator it, const EngineOrder &order)
    {
        m_holdings.erase(it);
        if (onUnload)
            onUnload(order);
    }

    Megabytes m_memory;
    bool m_checksFencing;
    Duration m_loadTime;
    std::map<std::string, Entry> m_holdings;
    FencingToken m_fencing;
};

} // namespace quetzalyoke::test

#endif
