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
    std::vector<std::string> dependencies; ///< Models or services that this model needs.
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

/// \brief Matches requests by method and path.
///
/// The method `*` matches any method. A `*` at the end of the path matches any remaining path.
struct RoutePattern
{
    std::string method;
    std::string path;

    bool matches(const std::string &requestMethod, const std::string &requestPath) const;
};

struct ServiceEntry
{
    ServiceName name;
    std::vector<RoutePattern> nonIdempotentRoutes; ///< Requests that may not be retried.
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

/// \brief A route that can be called without a key.
struct OpenRoute
{
    RoutePattern pattern; ///< With the path as in the caller's request.
    int line = 0;
};

enum class ServerKind { Engine, Service };

struct ServerEntry
{
    ServerName name;
    ServerKind kind = ServerKind::Engine;
    ZoneName zone;
    Megabytes memory;
    bool checksFencing = false; ///< Rejects orders with an old fencing token.
    ServiceName service; ///< Service that the server runs, if it is no engine.
    int line = 0;
    int serviceLine = 0;
};

/// \brief The operators' list of what is served, for which accounts and by which backend servers.
/// \sa IniDocument, ServiceListCheck
class ServiceList
{
public:
    /// Parses \a text. Every error within a section and every duplicate name is added to
    /// \a problems, with \a file as the file name. References to other sections are checked by
    /// ServiceListCheck.
    static ServiceList parse(const std::string &text, const std::string &file, Problems &problems);

    std::map<ModelName, ModelEntry> models;
    std::map<AdapterName, AdapterEntry> adapters;
    std::map<ServiceName, ServiceEntry> services;
    std::map<AccountId, AccountEntry> accounts;
    std::map<ServerName, ServerEntry> servers;
    std::vector<OpenRoute> openRoutes;

    /// Returns whether a request with \a method and \a path needs no key.
    bool isOpenRoute(const std::string &method, const std::string &path) const;
};

} // namespace quetzalyoke

#endif
