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

/// \brief A load or unload order as it was received.
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

/// \brief Loaded models and adapters of the engine stand-in. Thread-safe.
///
/// It also reports whether an order ever asked for more memory than the engine has.
class EngineMemory
{
public:
    explicit EngineMemory(const EngineSettings &settings);

    /// Executes \a order and returns the HTTP status. A load blocks until the weights are fetched.
    int execute(const ReceivedOrder &order);
    bool isReady(const std::string &name) const;
    /// Returns the memory fields of a load report, with the loaded models as of \a lag ago.
    nlohmann::json report(std::chrono::microseconds lag) const;

private:
    struct ResidentModel
    {
        ReceivedOrder order;
        bool ready = false;
        std::int64_t generation = 0; // number of its load order
    };

    int load(const ReceivedOrder &order);
    /// Reserves memory and returns the generation, or 0 and an HTTP status in \a status.
    std::int64_t reserveLocked(const ReceivedOrder &order, int &status);
    void unloadLocked(const std::string &name);
    bool fetchWeights(const ReceivedOrder &order) const;
    void recordHistoryLocked();

    const EngineSettings m_settings;
    mutable std::mutex m_mutex; // guards the members below
    std::map<std::string, ResidentModel> m_loadedModels;
    ValueHistory<nlohmann::json> m_history; // of the loaded models
    Megabytes m_used;
    Megabytes m_peak;
    std::int64_t m_highestFencingToken = 0;
    std::int64_t m_generation = 0;
    std::int64_t m_modelLoads = 0;
    std::int64_t m_adapterLoads = 0;
    bool m_overcommitted = false;
};

} // namespace quetzalyoke::standins

#endif
