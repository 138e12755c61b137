#ifndef QUETZALYOKE_CORE_CONFIGURATION_SERVICELISTCHECK_H
#define QUETZALYOKE_CORE_CONFIGURATION_SERVICELISTCHECK_H

#include "Core/Configuration/ServiceList.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace quetzalyoke {

/// \brief A service list with all that is wrong with it.
struct CheckedServiceList
{
    ServiceList list;
    Problems problems; ///< Any of them keeps the list from being applied. By line.
    Problems notices; ///< Limits that the operator should know; the list can be applied.
};

/// \brief Checks a service list as a whole: names that point to other sections, cycles, memory.
///
/// The gateways and `quetzalyokectl check` run the same check, so they give the same verdict.
class ServiceListCheck
{
public:
    /// Reads and checks \a text; \a file is the name that the problems carry.
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
    void checkRollingUpdateMemory(Megabytes mostRoom);

    /// Models and services by name, each with the line of its dependencies.
    struct Node
    {
        std::vector<std::string> dependencies;
        int line = 0;
    };

    void reportCycle(const std::string &start, const std::map<std::string, Node> &nodes,
                     std::set<std::string> &seen);
    void addProblem(int line, const std::string &what, const std::string &remedy);

    const ServiceList &m_list;
    std::string m_file;
    std::map<std::string, Node> m_nodes;
    Problems m_problems;
    Problems m_notices;
};

} // namespace quetzalyoke

#endif
