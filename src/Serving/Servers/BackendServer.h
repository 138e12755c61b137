#ifndef QUETZALYOKE_SERVING_SERVERS_BACKENDSERVER_H
#define QUETZALYOKE_SERVING_SERVERS_BACKENDSERVER_H

#include "Core/StrongTypes.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace quetzalyoke {

/// \brief Models that an engine has in memory, each with its loaded adapters.
using LoadedModels = std::map<ModelName, std::set<AdapterName>>;

/// \brief Entry of a backend server in the platform's list.
struct ListedServer
{
    ServerName id;
    Incarnation incarnation; ///< Increases with each start under the same id.
    ServiceName service;
    std::string address; ///< IP:PORT
    ZoneName zone;
    SoftwareVersion softwareVersion; ///< Empty if the entry has none that can be read.
    int slots = 1; ///< Maximum number of requests that run at the same time.
    /// How much longer the server stays cold; zero: it is warm; nothing: the entry doesn't state
    /// it.
    std::optional<Duration> coldTime = {};
    bool hasInvalidColdTime = false; ///< The entry states a time that isn't usable.
    bool isLeaving = false; ///< The server accepts no new requests.
    LoadedModels loadedModels;
    std::set<ModelName> locallyStoredModels; ///< Models that it can load without the weight store.

    bool operator==(const ListedServer &) const = default;
};

/// \brief Status that an engine reports when asked; it is some hundred milliseconds old.
struct EngineStatus
{
    LoadedModels loadedModels;
    std::set<std::pair<ModelName, AdapterName>> loadingAdapters;
    bool isExecutingOrder = false; ///< The engine is executing an order.
    std::int64_t acceptedOrders = 0; ///< Number of orders accepted in this incarnation.
    std::set<ModelName> locallyStoredModels; ///< Models that it can load without the weight store.
    std::optional<Incarnation> incarnation; ///< Of the engine that responded, if it states it.
};

} // namespace quetzalyoke

#endif
