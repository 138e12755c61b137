#include "Core/Configuration/ServiceListCheck.h"

#include "Core/Placement/MinimumPlacement.h"

#include <algorithm>

namespace quetzalyoke {

namespace {

constexpr const char *servicePrefix = "/services/";
constexpr const char *modelListPath = "/v1/models";

// Keeps the nodes that lie on a cycle or lead to one: those that never run out of dependencies.
template<typename Nodes>
Nodes withoutAcyclic(const Nodes &nodes)
{
    std::map<std::string, std::size_t> open;
    std::map<std::string, std::vector<std::string>> dependents;
    for (const auto &[name, node] : nodes) {
        open[name] = 0;
        for (const std::string &it : node.dependencies) {
            if (!nodes.contains(it))
                continue;
            ++open[name];
            dependents[it].push_back(name);
        }
    }
    std::vector<std::string> done;
    for (const auto &[name, n] : open) {
        if (n == 0)
            done.push_back(name);
    }
    Nodes rest = nodes;
    while (!done.empty()) {
        const std::string name = done.back();
        done.pop_back();
        rest.erase(name);
        for (const std::string &it : dependents[name]) {
            if (--open[it] == 0)
                done.push_back(it);
        }
    }
    return rest;
}

std::string megabytes(Megabytes n)
{
    return std::to_string(n.count()) + " MB";
}

// A model with its adapters, which share a server.
Megabytes memoryWithAdapters(const ServiceList &list, const ModelName &model)
{
    Megabytes memory = list.models.at(model).memory;
    for (const auto &[name, it] : list.adapters) {
        if (it.base == model)
            memory += it.memory;
    }
    return memory;
}

Megabytes mostRoomLeft(const ServiceList &list, const MinimumPlacement &plan)
{
    Megabytes most;
    for (const auto &[name, server] : list.servers) {
        if (server.kind != ServerKind::Engine)
            continue;
        Megabytes room = server.memory;
        const auto holdings = plan.modelsByServer.find(name);
        if (holdings != plan.modelsByServer.end()) {
            for (const PlannedModel &it : holdings->second)
                room -= it.memory;
        }
        most = std::max(most, room);
    }
    return most;
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

// A text that was cut short must not withdraw everything.
void ServiceListCheck::checkNotEmpty()
{
    if (m_list.servers.empty())
        addProblem(0, "no server is listed", "add a [server NAME] section for each backend server");
    if (m_list.models.empty() && m_list.services.empty())
        addProblem(0, "nothing is served", "add [model NAME] or [service NAME] sections");
}

// Callers address models and adapters by name, dependencies name models and services, and a
// backend server reports what it can answer by name: one name, one meaning.
void ServiceListCheck::checkDuplicateNames()
{
    std::vector<std::pair<int, std::string>> uses;
    for (const auto &[name, it] : m_list.models)
        uses.emplace_back(it.line, name.text());
    for (const auto &[name, it] : m_list.adapters)
        uses.emplace_back(it.line, name.text());
    for (const auto &[name, it] : m_list.services)
        uses.emplace_back(it.line, name.text());
    std::sort(uses.begin(), uses.end());
    std::map<std::string, int> firstLines;
    for (const auto &[line, name] : uses) {
        const auto [it, added] = firstLines.emplace(name, line);
        if (added)
            continue;
        addProblem(line,
                   "the name " + name + " is already used on line " + std::to_string(it->second),
                   "give models, adapters and services names of their own");
    }
}

void ServiceListCheck::checkDependencies()
{
    for (const auto &[name, node] : m_nodes) {
        for (const std::string &it : node.dependencies) {
            if (m_nodes.contains(it))
                continue;
            std::string what = name + " depends on ";
            what += it + ", which is no listed model or service";
            addProblem(node.line, what, "add it, or correct depends_on");
        }
    }
}

void ServiceListCheck::checkCycles()
{
    const auto cyclic = withoutAcyclic(m_nodes);
    std::set<std::string> seen;
    for (const auto &[name, node] : cyclic) {
        if (!seen.contains(name))
            reportCycle(name, cyclic, seen);
    }
}

void ServiceListCheck::reportCycle(const std::string &start,
                                   const std::map<std::string, Node> &nodes,
                                   std::set<std::string> &seen)
{
    std::vector<std::string> path;
    std::string name = start;
    while (seen.insert(name).second) {
        path.push_back(name);
        const auto &dependencies = nodes.at(name).dependencies;
        name = *std::find_if(dependencies.begin(), dependencies.end(),
                             [&nodes](const std::string &it) { return nodes.contains(it); });
    }
    // A walk that ran into an earlier one has found no cycle of its own.
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
                       + ", which is no listed model",
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
                       + ", which is no listed service",
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
        // The name must end within the pattern, or the route would open other services too.
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
    const MinimumPlacement plan = MinimumPlacement::compute(m_list);
    const Megabytes mostRoom = mostRoomLeft(m_list, plan);
    for (const ModelName &it : plan.unplaced) {
        const Megabytes needed = memoryWithAdapters(m_list, it);
        addProblem(m_list.models.at(it).line,
                   "model " + it.text() + " with its adapters needs " + megabytes(needed)
                       + " on one engine, the most that is left is " + megabytes(mostRoom) + " ("
                       + megabytes(needed - mostRoom) + " short)",
                   "list another engine or one with more memory, or fewer models or adapters");
    }
    if (plan.unplaced.empty())
        checkRollingUpdateMemory(mostRoom);
}

// The new version is loaded before the old one is unloaded, so it needs room beside it.
void ServiceListCheck::checkRollingUpdateMemory(Megabytes mostRoom)
{
    const ModelEntry *largest = nullptr;
    for (const auto &[name, it] : m_list.models) {
        if (!largest || it.memory > largest->memory)
            largest = &it;
    }
    if (!largest || largest->memory <= mostRoom)
        return;
    m_notices.push_back({m_file, largest->line,
                         "no engine has room to load a new version of " + largest->name.text()
                             + " beside the old one (" + megabytes(largest->memory - mostRoom)
                             + " short)",
                         "list more memory before you change its version"});
}

void ServiceListCheck::addProblem(int line, const std::string &what, const std::string &remedy)
{
    m_problems.push_back({m_file, line, what, remedy});
}

} // namespace quetzalyoke
