#include "Serving/State/ServingConfig.h"

namespace quetzalyoke {

const Route *ServingConfig::findRoute(std::string_view host, std::string_view path) const
{
    const auto it = routesByHost.find(host);
    if (it == routesByHost.end())
        return nullptr;
    const Route *best = nullptr;
    for (const Route &route : it->second) {
        if (!path.starts_with(route.pathPrefix))
            continue;
        if (!best || route.pathPrefix.size() > best->pathPrefix.size())
            best = &route;
    }
    return best;
}

const ClientAccount *ServingConfig::findAccount(std::string_view key) const
{
    const auto it = accountsByKey.find(key);
    if (it == accountsByKey.end())
        return nullptr;
    const auto account = accounts.find(it->second);
    return account == accounts.end() ? nullptr : &account->second;
}

const ServiceSpec *ServingConfig::findService(const ServiceName &name) const
{
    const auto it = services.find(name);
    return it == services.end() ? nullptr : &it->second;
}

} // namespace quetzalyoke
