#ifndef QUETZALYOKE_CORE_CONFIGURATION_SERVICELIST_H
#define QUETZALYOKE_CORE_CONFIGURATION_SERVICELIST_H

#include "Core/Configuration/IniDocument.h"
#include "Core/StrongTypes.h"

#include <map>
#include <string>
#include <vector>

namespace quetzalyoke {

struct ModelEntry
{
    ModelName name;
    std::string version;
    Megabytes memory;
    std::vector<std::string> dependencies; ///< Models or services this one needs.
    int line = 0;
    int dependenciesLine = 0;
};

struct AdapterEntry
{
    AdapterName name;
    ModelName base;
    std::string version;
    Megabytes memory;
    int line = 0;
    int baseLine = 0;
};

/// \brief A call of a plain service: method and path, `*` at the end matches any rest.
struct RoutePattern
{
    std::string method;
    std::string path;

    bool matches(const std::string &callMethod, const std::string &callPath) const;
};

struct ServiceEntry
{
    ServiceName name;
    std::vector<RoutePattern> nonIdempotentRoutes; ///< Calls that may not be repeated.
    std::vector<std::string> dependencies;
    int line = 0;
    int dependenciesLine = 0;
};

struct AccountEntry
{
    AccountId name;
    TokensPerSecond rate;
    Tokens burst;
    int line = 0;
};

/// \brief A route that needs no key.
struct OpenRoute
{
    RoutePattern pattern; ///< Path as the caller writes it.
    int line = 0;
};

enum class ServerKind { Engine, Service };

struct ServerEntry
{
    ServerName name;
    ServerKind kind = ServerKind::Engine;
    ZoneName zone;
    Megabytes memory;
    bool checksFencing = false; ///< Refuses an order with an old fencing number.
    ServiceName service; ///< For plain services: which one it runs.
    int line = 0;
    int serviceLine = 0;
};

/// \brief The operators' text: what is served, for whom, and by which backend servers.
/// \sa IniDocument, ServiceListCheck
class ServiceList
{
public:
    /// Reads \a text; every mistake within one section, and every name given twice, is added to
    /// \a problems. Names that point to other sections are ServiceListCheck's.
    static ServiceList parse(const std::string &text, const std::string &file, Problems &problems);

    std::map<ModelName, ModelEntry> models;
    std::map<AdapterName, AdapterEntry> adapters;
    std::map<ServiceName, ServiceEntry> services;
    std::map<AccountId, AccountEntry> accounts;
    std::map<ServerName, ServerEntry> servers;
    std::vector<OpenRoute> openRoutes;

    /// Whether a call with this method and path needs no key.
    bool isOpenRoute(const std::string &method, const std::string &path) const;
};

} // namespace quetzalyoke

#endif
