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

/// \brief What may be repeated of a route's calls.
enum class RouteKind {
    Idempotent, ///< May run more than once.
    NonIdempotent, ///< Runs at most once.
    Stream, ///< Events; runs at most once unless the route is resumable.
};

/// \brief One of the services that share a route's calls.
struct RouteTarget
{
    ServiceName service;
    int weight = 1; ///< Relative to the route's other shares.
};

struct Route
{
    std::string name;
    std::string host;
    std::string pathPrefix; ///< Begins and ends with a slash.
    RouteKind kind = RouteKind::NonIdempotent;
    Milliseconds timeout{0}; ///< Longest time to a final answer.
    Milliseconds latencyObjective{0}; ///< To the whole answer; of streams to the first event.
    Milliseconds eventGapObjective{0}; ///< Longest pause between events.
    int priority = 0; ///< 0 is the most urgent.
    int maxAttempts = 1; ///< Backend servers that one request may run on.
    bool isPublic = false; ///< Needs no key.
    bool isResumable = false;
    std::vector<RouteTarget> targets;
};

struct ModelSpec
{
    ModelName name;
    double megabytes = 0;
    double adapterMegabytes = 0;
    int adapterCount = 0;
    Milliseconds weightStoreLoadTime{0}; ///< From the weight store, while few loads run.
    Milliseconds localLoadTime{0}; ///< From the engine's own disk.
};

/// \brief What the model engines of a service have room for.
struct EngineSpec
{
    double megabytes = 0;
    int adapterSlots = 0;
    int slots = 0; ///< Requests in one batch.
    std::int64_t kvCacheTokens = 0; ///< For running requests and cached prompt parts.
    double loadsPerSecond = 0; ///< From the weight store, over all engines.
    std::map<ModelName, ModelSpec> models;
};

struct ServiceSpec
{
    ServiceName name;
    int maxConnections = 0; ///< That a server accepts from all callers combined.
    std::optional<EngineSpec> engine; ///< Nothing: a plain service.
};

struct ClientAccount
{
    AccountId name;
    std::optional<int> priorityOverride; ///< Goes before the route's.
    bool countsTokens = false; ///< Else requests.
    double defaultTokenCharge = 1; ///< Charge for a request that states no tokens.
    double ratePerSecond = 0; ///< 0: no limit.
    double burst = 0;
};

/// \brief Bounds on what a caller may send.
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

    /// The route of \a host with the longest prefix that begins \a path; nullptr where none does.
    const Route *findRoute(std::string_view host, std::string_view path) const;
    /// The account that holds \a key; nullptr where none does.
    const ClientAccount *findAccount(std::string_view key) const;
    const ServiceSpec *findService(const ServiceName &name) const;
};

using ServingConfigPtr = std::shared_ptr<const ServingConfig>;

} // namespace quetzalyoke

#endif
