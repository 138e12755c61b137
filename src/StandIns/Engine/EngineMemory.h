#ifndef QUETZALYOKE_STANDINS_ENGINE_ENGINEMEMORY_H
#define QUETZALYOKE_STANDINS_ENGINE_ENGINEMEMORY_H

#include "StandIns/Engine/EngineSettings.h"
#include "StandIns/Engine/Lagged.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace quetzalyoke::standins {

/// \brief An order to load or unload, as it came.
struct EngineOrder
{
    bool unload = false;
    std::string name;
    std::string version;
    Megabytes memory;
    bool adapter = false;
    std::int64_t fencing = 0;

    static EngineOrder fromJson(const nlohmann::json &body);
};

/// \brief What the engine holds, and whether it was ever asked to hold too much.
class EngineMemory
{
public:
    explicit EngineMemory(const EngineSettings &settings);

    /// Carries out \a order; gives the HTTP status. A load takes as long as the weights need.
    int carryOut(const EngineOrder &order);
    bool isReady(const std::string &name) const;
    /// The memory's part of a load report; holdings are as they were \a lag ago.
    nlohmann::json report(std::chrono::microseconds lag) const;

private:
    struct Holding
    {
        EngineOrder order;
        bool ready = false;
        std::int64_t generation = 0; // of the load order that brought it
    };

    int load(const EngineOrder &order);
    /// Reserves memory; gives the generation, or an HTTP status in \a status.
    std::int64_t reserveLocked(const EngineOrder &order, int &status);
    void unloadLocked(const std::string &name);
    bool fetchWeights(const EngineOrder &order) const;
    void rememberLocked();

    const EngineSettings m_settings;
    mutable std::mutex m_mutex; // of the members below
    std::map<std::string, Holding> m_holdings;
    Lagged<nlohmann::json> m_history; // of the holdings
    Megabytes m_used;
    Megabytes m_peak;
    std::int64_t m_fencing = 0;
    std::int64_t m_generation = 0;
    std::int64_t m_modelLoads = 0;
    std::int64_t m_adapterLoads = 0;
    bool m_overcommitted = false;
};

} // namespace quetzalyoke::standins

#endif
