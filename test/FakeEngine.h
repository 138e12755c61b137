#ifndef QUETZALYOKE_TEST_FAKEENGINE_H
#define QUETZALYOKE_TEST_FAKEENGINE_H

#include "Core/Placement/EngineOrder.h"

#include <algorithm>
#include <functional>
#include <map>
#include <string>

namespace quetzalyoke::test {

/// \brief An engine with a virtual clock that tracks its memory on its own.
class FakeEngine
{
public:
    FakeEngine(Megabytes memory, bool checksFencing, Duration loadTime)
        : m_memory(memory), m_checksFencing(checksFencing), m_loadTime(loadTime)
    { }

    /// Called with each order that removes a model.
    std::function<void(const EngineOrder &order)> onUnload;

    /// Executes an order, unless its fencing token is checked and outdated.
    void execute(const EngineOrder &order, Instant now)
    {
        if (m_checksFencing && order.fencingToken < m_highestFencingToken)
            return;
        m_highestFencingToken = std::max(m_highestFencingToken, order.fencingToken);
        const auto it = m_loadedModels.find(order.model.name);
        const bool isLoaded = it != m_loadedModels.end();
        if (order.kind == EngineOrder::Kind::Unload) {
            if (isLoaded)
                unload(it, order);
            return;
        }
        if (isLoaded && it->second.model.version == order.model.version)
            return;
        if (usedMemory() + order.model.memory > m_memory) {
            overcommitted = true;
            return;
        }
        if (isLoaded)
            unload(it, order);
        m_loadedModels[order.model.name] = {order.model, now + m_loadTime};
    }

    /// Clears all state, as after a crash.
    void restart()
    {
        m_loadedModels.clear();
        m_highestFencingToken = FencingToken();
    }

    EngineReport report(Instant now) const
    {
        EngineReport report;
        report.memory = m_memory;
        report.highestFencingToken = m_highestFencingToken;
        for (const auto &[name, entry] : m_loadedModels) {
            report.models.push_back(entry.model);
            report.models.back().isReady = entry.readyAt <= now;
        }
        return report;
    }

    /// Returns the memory of all loaded models.
    Megabytes usedMemory() const
    {
        Megabytes sum;
        for (const auto &[name, entry] : m_loadedModels)
            sum += entry.model.memory;
        return sum;
    }

    bool overcommitted = false; ///< Whether a load order exceeded the memory.

private:
    struct LoadedModel
    {
        HostedModel model;
        Instant readyAt;
    };

    void unload(std::map<std::string, LoadedModel>::iterator it, const EngineOrder &order)
    {
        m_loadedModels.erase(it);
        if (onUnload)
            onUnload(order);
    }

    Megabytes m_memory;
    bool m_checksFencing;
    Duration m_loadTime;
    std::map<std::string, LoadedModel> m_loadedModels;
    FencingToken m_highestFencingToken;
};

} // namespace quetzalyoke::test

#endif
