#ifndef QUETZALYOKE_SERVING_SERVERS_BACKENDSERVER_H
#define QUETZALYOKE_SERVING_SERVERS_BACKENDSERVER_H

#include "Core/StrongTypes.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace quetzalyoke {

/// \brief Models that an engine holds, each with its loaded adapters.
using LoadedModels = std::map<ModelName, std::set<AdapterName>>;

/// \brief What a backend server says of itself in the platform's list.
struct ListedServer
{
    ServerName id;
    Incarnation incarnation; ///< Rises with each start under the same id.
    ServiceName service;
    std::string address; ///< IP:PORT
    ZoneName zone;
    int slots = 1; ///< Requests that run at once.
    bool isLeaving = false; ///< Takes no new work.
    LoadedModels loadedModels;
    std::set<ModelName> locallyStoredModels; ///< Models that it loads without the weight store.

    bool operator==(const ListedServer &) const = default;
};

/// \brief What an engine reports when asked; some hundred milliseconds old.
struct EngineStatus
{
    LoadedModels loadedModels;
    std::set<std::pair<ModelName, AdapterName>> loadingAdapters;
    bool isExecutingOrder = false; ///< Carries out an order.
    std::int64_t acceptedOrders = 0; ///< Accepted in this incarnation.
    std::set<ModelName> locallyStoredModels; ///< Models that it loads without the weight store.
    std::optional<Incarnation> incarnation; ///< Of the engine that answered, if it says so.
};

} // namespace quetzalyoke

#endif
