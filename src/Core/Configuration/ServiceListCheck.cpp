#include "Core/Configuration/ServiceListCheck.h"

#include "Core/Placement/MinimumPlacement.h"

#include <algorithm>

namespace quetzalyoke {

namespace {

constexpr const char *servicePrefix = "/services/";
constexpr const char *modelListPath = "/v1/models";

// Returns the nodes that lie on a cycle or lead to one, whose dependencies are never all resolved.
template<typename Nodes>
Nodes keepCyclic(const Nodes &nodes)
{
    std::map<std::string, std::size_t> unresolved;
    std::map<std::string, std::vector<std::string>> dependents;
    for (const auto &[name, node] : nodes) {
        unresolved[name] = 0;
        for (const std::string &it : node.dependencies) {
            if (!nodes.contains(it))
                continue;
            ++unresolved[name];
            dependents[it].push_back(name);
        }
    }
    std::vector<std::string> resolved;
    for (const auto &[name, n] : unresolved) {
        if (n == 0)
            resolved.push_back(name);
    }
    Nodes remaining = nodes;
    while (!resolved.empty()) {
        const std::string name = resolved.back();
        resolved.pop_back();
        remaining.erase(name);
        for (const std::string &it : dependents[name]) {
            if (--unresolved[it] == 0)
                resolved.push_back(it);
        }
    }
    return remaining;
}

std::string megabytes(Megabytes n)
{
    return std::to_string(n.count()) + " MB";
}

// Returns the memory of a model and all its adapters, which are loaded on the same server.
Megabytes memoryWithAdapters(const ServiceList &list, const ModelName &model)
{
    Megabytes memory = list.models.at(model).memory;
    for (const auto &[name, it] : list.adapters) {
        if (it.base == model)
            memory += it.memory;
    }
    return memory;
}

Megabytes largestFreeMemory(const ServiceList &list, const MinimumPlacement &placement)
{
    Megabytes largest;
    for (const auto &[name, server] : list.servers) {
        if (server.kind != ServerKind::Engine)
            continue;
        Megabytes freeMemory = server.memory;
        const auto placed = placement.modelsByServer.find(name);
        if (placed != placement.modelsByServer.end()) {
            for (const PlannedModel &it : placed->second)
                freeMemory -= it.memory;
        }
        largest = std::max(largest, freeMemory);
    }
    return largest;
}

bool byLine(const Problem &a, const Problem &b)
{
    return a.line < b.line;
}

} // namespace

CheckedServiceList ServiceListCheck::parseAndCheck(const std::string &text, const std::string &file)
{
    CheckedServiceList checked;
    checked.list = ServiceList::parse(text, file, checked.problems);
    ServiceListCheck check(checked.list, file);
    check.checkNotEmpty();
    check.checkDuplicateNames();
    check.checkDependencies();
    check.checkCycles();
    check.checkAdapters();
    check.checkServers();
    check.checkOpenRoutes();
    check.checkMemory();
    Problems &problems = checked.problems;
    problems.insert(problems.end(), check.m_problems.begin(), check.m_problems.end());
    std::stable_sort(problems.begin(), problems.end(), byLine);
    checked.notices = check.m_notices;
    return checked;
}

ServiceListCheck::ServiceListCheck(const ServiceList &list, std::string file)
    : m_list(list), m_file(std::move(file))
{
    for (const auto &[name, it] : list.models)
        m_nodes[name.text()] = {it.dependencies, it.dependenciesLine};
    for (const auto &[name, it] : list.services)
        m_nodes[name.text()] = {it.dependencies, it.dependenciesLine};
}

// A truncated text must not remove everything that is served.
void ServiceListCheck::checkNotEmpty()
{
    if (m_list.servers.empty())
        addProblem(0, "no server is listed", "add a [server NAME] section for each backend server");
    if (m_list.models.empty() && m_list.services.empty())
        addProblem(0, "no model or service is listed",
                   "add [model NAME] or [service NAME] sections");
}

// Callers use the names of models and adapters, dependencies those of models and services, and
// backend servers report by name what they can serve. So a name must be unique over all three.
void ServiceListCheck::checkDuplicateNames()
{
    std::vector<std::pair<int, std::string>> definitions;
    for (const auto &[name, it] : m_list.models)
        definitions.emplace_back(it.line, name.text());
    for (const auto &[name, it] : m_list.adapters)
        definitions.emplace_back(it.line, name.text());
    for (const auto &[name, it] : m_list.services)
        definitions.emplace_back(it.line, name.text());
    std::sort(definitions.begin(), definitions.end());
    std::map<std::string, int> firstLines;
    for (const auto &[line, name] : definitions) {
        const auto [it, added] = firstLines.emplace(name, line);
        if (added)
            continue;
        addProblem(line,
                   "the name " + name + " is already used on line " + std::to_string(it->second),
                   "give each model, adapter and service a unique name");
    }
}

void ServiceListCheck::checkDependencies()
{
    for (const auto &[name, node] : m_nodes) {
        for (const std::string &it : node.dependencies) {
            if (m_nodes.contains(it))
                continue;
            std::string what = name + " depends on ";
            what += it + ", which is not a listed model or service";
            addProblem(node.line, what, "add it, or correct depends_on");
        }
    }
}

void ServiceListCheck::checkCycles()
{
    const auto cyclic = keepCyclic(m_nodes);
    std::set<std::string> visited;
    for (const auto &[name, node] : cyclic) {
        if (!visited.contains(name))
            reportCycle(name, cyclic, visited);
    }
}

void ServiceListCheck::reportCycle(const std::string &start,
                                   const std::map<std::string, Node> &nodes,
                                   std::set<std::string> &visited)
{
    std::vector<std::string> path;
    std::string name = start;
    while (visited.insert(name).second) {
        path.push_back(name);
        const auto &dependencies = nodes.at(name).dependencies;
        name = *std::find_if(dependencies.begin(), dependencies.end(),
                             [&nodes](const std::string &it) { return nodes.contains(it); });
    }
    // If this walk ended at a node of an earlier walk, it has found no new cycle.
    auto first = std::find(path.begin(), path.end(), name);
    if (first == path.end())
        return;
    std::string text;
    for (auto it = first; it != path.end(); ++it)
        text += *it + " -> ";
    addProblem(nodes.at(name).line, "dependencies form a cycle: " + text + name,
               "remove one of these dependencies");
}

void ServiceListCheck::checkAdapters()
{
    for (const auto &[name, it] : m_list.adapters) {
        if (it.base.isEmpty() || m_list.models.contains(it.base))
            continue;
        addProblem(it.baseLine,
                   "adapter " + name.text() + " has the base " + it.base.text()
                       + ", which is not a listed model",
                   "add the model, or correct base");
    }
}

void ServiceListCheck::checkServers()
{
    std::set<ServiceName> served;
    for (const auto &[name, it] : m_list.servers) {
        if (it.kind != ServerKind::Service || it.service.isEmpty())
            continue;
        served.insert(it.service);
        if (m_list.services.contains(it.service))
            continue;
        addProblem(it.serviceLine,
                   "server " + name.text() + " runs " + it.service.text()
                       + ", which is not a listed service",
                   "add [service " + it.service.text() + "], or correct service");
    }
    for (const auto &[name, it] : m_list.services) {
        if (served.contains(name))
            continue;
        addProblem(it.line, "service " + name.text() + " has no server",
                   "add a [server NAME] with kind = service and service = " + name.text());
    }
}

void ServiceListCheck::checkOpenRoutes()
{
    const std::string prefix = servicePrefix;
    for (const OpenRoute &it : m_list.openRoutes) {
        const std::string &path = it.pattern.path;
        if (path == modelListPath)
            continue;
        if (!path.starts_with(prefix)) {
            addProblem(it.line, "the open route " + path + " is no service's",
                       "write it as [open METHOD /services/NAME/path]; calls of models need a key");
            continue;
        }
        // The pattern must contain the whole service name, or the route would open other services
        // too.
        const std::string name
            = path.substr(prefix.size(), path.find('/', prefix.size()) - prefix.size());
        if (m_list.services.contains(ServiceName(name)))
            continue;
        addProblem(it.line, "the open route " + path + " names no listed service",
                   "write it as [open METHOD /services/NAME/path] with the name of a service");
    }
}

void ServiceListCheck::checkMemory()
{
    const MinimumPlacement placement = MinimumPlacement::compute(m_list);
    const Megabytes maxFreeMemory = largestFreeMemory(m_list, placement);
    for (const ModelName &it : placement.unplaced) {
        const Megabytes needed = memoryWithAdapters(m_list, it);
        addProblem(m_list.models.at(it).line,
                   "model " + it.text() + " with its adapters needs " + megabytes(needed)
                       + " on one engine, but the largest free memory is "
                       + megabytes(maxFreeMemory) + " (" + megabytes(needed - maxFreeMemory)
                       + " short)",
                   "list another engine or one with more memory, or fewer models or adapters");
    }
    if (placement.unplaced.empty())
        checkRollingUpdateMemory(maxFreeMemory);
}

// The new version is loaded before the old one is unloaded, so both must fit into memory.
void ServiceListCheck::checkRollingUpdateMemory(Megabytes maxFreeMemory)
{
    const ModelEntry *largest = nullptr;
    for (const auto &[name, it] : m_list.models) {
        if (!largest || it.memory > largest->memory)
            largest = &it;
    }
    if (!largest || largest->memory <= maxFreeMemory)
        return;
    m_notices.push_back({m_file, largest->line,
                         "no engine has enough memory to load a new version of "
                             + largest->name.text() + " beside the old one ("
                             + megabytes(largest->memory - maxFreeMemory) + " short)",
                         "list an engine with more memory before you change its version"});
}

void ServiceListCheck::addProblem(int line, const std::string &what, const std::string &remedy)
{
    m_problems.push_back({m_file, line, what, remedy});
}

} // namespace quetzalyoke
