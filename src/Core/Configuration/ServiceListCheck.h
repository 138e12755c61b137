#ifndef QUETZALYOKE_CORE_CONFIGURATION_SERVICELISTCHECK_H
#define QUETZALYOKE_CORE_CONFIGURATION_SERVICELISTCHECK_H

#include "Core/Configuration/ServiceList.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace quetzalyoke {

/// \brief A service list and the problems found in it.
struct CheckedServiceList
{
    ServiceList list;
    Problems problems; ///< By line; a list with any problem can't be applied.
    Problems notices; ///< Limits to tell the operator; they don't prevent applying the list.
};

/// \brief Checks a whole service list: references between sections, dependency cycles and memory.
///
/// The gateways and `quetzalyokectl check` use the same check, so that they agree.
class ServiceListCheck
{
public:
    /// Parses and checks \a text. \a file is the file name in the problems.
    static CheckedServiceList parseAndCheck(const std::string &text, const std::string &file);

private:
    ServiceListCheck(const ServiceList &list, std::string file);

    void checkNotEmpty();
    void checkDuplicateNames();
    void checkDependencies();
    void checkCycles();
    void checkAdapters();
    void checkServers();
    void checkOpenRoutes();
    void checkMemory();
    void checkRollingUpdateMemory(Megabytes maxFreeMemory);

    /// A model or service in the dependency graph, with the line of its dependencies.
    struct Node
    {
        std::vector<std::string> dependencies;
        int line = 0;
    };

    void reportCycle(const std::string &start, const std::map<std::string, Node> &nodes,
                     std::set<std::string> &visited);
    void addProblem(int line, const std::string &what, const std::string &remedy);

    const ServiceList &m_list;
    std::string m_file;
    std::map<std::string, Node> m_nodes;
    Problems m_problems;
    Problems m_notices;
};

} // namespace quetzalyoke

#endif
