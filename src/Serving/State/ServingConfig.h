#ifndef QUETZALYOKE_SERVING_STATE_SERVINGCONFIG_H
#define QUETZALYOKE_SERVING_STATE_SERVINGCONFIG_H

#include "Core/StrongTypes.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace quetzalyoke {

using Milliseconds = std::chrono::milliseconds;

/// \brief Whether the requests of a route may run more than once.
enum class RouteKind {
    Idempotent, ///< May run more than once.
    NonIdempotent, ///< Runs at most once.
    Stream, ///< The response is an event stream; runs at most once unless the route is resumable.
};

/// \brief One of the services that share the requests of a route.
struct RouteTarget
{
    ServiceName service;
    int weight = 1; ///< Relative to the route's other targets.
};

struct Route
{
    std::string name;
    std::string host;
    std::string pathPrefix; ///< Begins and ends with a slash.
    RouteKind kind = RouteKind::NonIdempotent;
    Milliseconds timeout{0}; ///< Longest time to the final response.
    Milliseconds latencyObjective{0}; ///< For the whole response; of streams for the first event.
    Milliseconds eventGapObjective{0}; ///< Longest time between two events of a stream.
    int priority = 0; ///< 0 is the most urgent.
    int maxAttempts = 1; ///< Maximum number of backend servers that one request is sent to.
    bool isPublic = false; ///< Requests need no API key.
    bool isResumable = false;
    std::vector<RouteTarget> targets;
};

struct ModelSpec
{
    ModelName name;
    double megabytes = 0;
    double adapterMegabytes = 0;
    int adapterCount = 0;
    Milliseconds weightStoreLoadTime{0}; ///< From the weight store while few loads run.
    Milliseconds localLoadTime{0}; ///< From the engine's own disk.
};

/// \brief Capacity of the engines of a service, and the models that they may load.
struct EngineSpec
{
    double megabytes = 0;
    int adapterSlots = 0;
    int slots = 0; ///< Maximum number of requests in one batch.
    std::int64_t kvCacheTokens = 0; ///< Shared by running requests and cached prompt parts.
    double loadsPerSecond = 0; ///< Rate of loads from the weight store, over all engines.
    std::map<ModelName, ModelSpec> models;
};

struct ServiceSpec
{
    ServiceName name;
    int maxConnections = 0; ///< Connections that one server accepts from all clients.
    std::optional<EngineSpec> engine; ///< Not set for a plain service.
    /// Requests per second that a cold server tolerates from all gateways together; 0: any number.
    double coldRequestsPerSecond = 0;
    Milliseconds coldStartTime{0}; ///< How long a server is cold after its start, unless it states
                                   ///< that itself.
};

struct ClientAccount
{
    AccountId name;
    std::optional<int> priorityOverride; ///< Replaces the priority of the route.
    bool countsTokens = false; ///< The quota counts tokens, else requests.
    double defaultTokenCharge = 1; ///< Charge for a request that states no tokens.
    double ratePerSecond = 0; ///< 0: no limit.
    double burst = 0;
};

/// \brief Limits on what a caller may send.
struct CallerLimits
{
    std::uint32_t headerBytes = 16'384;
    std::uint64_t bodyBytes = 4'194'304;
    Milliseconds headerTimeout{3'000};
    Milliseconds idleTimeout{15'000};
};

/// \brief One version of the operators' configuration, immutable once built.
class ServingConfig
{
public:
    Version version;
    std::map<std::string, std::vector<Route>, std::less<>> routesByHost;
    std::map<ServiceName, ServiceSpec> services;
    std::map<AccountId, ClientAccount> accounts;
    std::map<std::string, AccountId, std::less<>> accountsByKey;
    CallerLimits limits;
    std::vector<std::string> problems; ///< Values that are ignored because they aren't usable.

    /// Returns the route of \a host with the longest path prefix of \a path; nullptr if there is
    /// none.
    const Route *findRoute(std::string_view host, std::string_view path) const;
    /// Returns the account that \a key belongs to; nullptr if there is none.
    const ClientAccount *findAccount(std::string_view key) const;
    const ServiceSpec *findService(const ServiceName &name) const;
};

using ServingConfigPtr = std::shared_ptr<const ServingConfig>;

} // namespace quetzalyoke

#endif
