#include "Core/Configuration/ServiceList.h"

#include "Core/Configuration/internal/ServiceListReader.h"

#include <algorithm>

namespace quetzalyoke {

bool RoutePattern::matches(const std::string &requestMethod, const std::string &requestPath) const
{
    if (method != "*" && method != requestMethod)
        return false;
    if (path.empty() || path.back() != '*')
        return path == requestPath;
    return requestPath.compare(0, path.size() - 1, path, 0, path.size() - 1) == 0;
}

ServiceList ServiceList::parse(const std::string &text, const std::string &file, Problems &problems)
{
    const IniDocument document = IniDocument::parse(text, file, problems);
    return internal::ServiceListReader(file, problems).read(document);
}

bool ServiceList::isOpenRoute(const std::string &method, const std::string &path) const
{
    return std::any_of(openRoutes.begin(), openRoutes.end(),
                       [&](const OpenRoute &it) { return it.pattern.matches(method, path); });
}

} // namespace quetzalyoke
