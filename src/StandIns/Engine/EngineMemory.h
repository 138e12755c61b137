#ifndef QUETZALYOKE_STANDINS_ENGINE_ENGINEMEMORY_H
#define QUETZALYOKE_STANDINS_ENGINE_ENGINEMEMORY_H

#include "StandIns/Engine/EngineSettings.h"
#include "StandIns/Engine/ValueHistory.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace quetzalyoke::standins {

/// \brief An order to load or unload, as it came.
struct ReceivedOrder
{
    bool isUnload = false;
    std::string name;
    std::string version;
    Megabytes memory;
    bool isAdapter = false;
    std::int64_t fencingToken = 0;

    static ReceivedOrder fromJson(const nlohmann::json &body);
};

/// \brief What the engine holds, and whether it was ever asked to hold too much.
class EngineMemory
{
public:
    explicit EngineMemory(const EngineSettings &settings);

    /// Carries out \a order; gives the HTTP status. A load takes as long as the weights need.
    int execute(const ReceivedOrder &order);
    bool isReady(const std::string &name) const;
    /// The memory's part of a load report; holdings are as they were \a lag ago.
    nlohmann::json report(std::chrono::microseconds lag) const;

private:
    struct ResidentModel
    {
        ReceivedOrder order;
        bool ready = false;
        std::int64_t generation = 0; // of the load order that brought it
    };

    int load(const ReceivedOrder &order);
    /// Reserves memory; gives the generation, or an HTTP status in \a status.
    std::int64_t reserveLocked(const ReceivedOrder &order, int &status);
    void unloadLocked(const std::string &name);
    bool fetchWeights(const ReceivedOrder &order) const;
    void recordHistoryLocked();

    const EngineSettings m_settings;
    mutable std::mutex m_mutex; // of the members below
    std::map<std::string, ResidentModel> m_holdings;
    ValueHistory<nlohmann::json> m_history; // of the holdings
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
