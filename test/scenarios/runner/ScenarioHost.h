#ifndef QUETZALYOKE_SCENARIOS_SCENARIOHOST_H
#define QUETZALYOKE_SCENARIOS_SCENARIOHOST_H

#include "ChildProcess.h"
#include "HttpCall.h"
#include "LinkRelay.h"
#include "LuaScript.h"

#include <filesystem>
#include <map>
#include <memory>
#include <string>

namespace quetzalyoke::scenarios {

/// \brief Processes, links and calls of one scenario, and the host functions that control them.
///
/// The destructor ends all of them.
class ScenarioHost
{
public:
    /// Programs are started from \a programFolder.
    explicit ScenarioHost(std::string programFolder);
    ~ScenarioHost();
    ScenarioHost(const ScenarioHost &) = delete;
    ScenarioHost &operator=(const ScenarioHost &) = delete;

    void addHostFunctions(LuaScript &script);
    /// Prints the last lines of every process's log.
    void printLogs() const;

private:
    using Json = nlohmann::json;

    Json writeFile(const Json &args);
    Json startProcess(const Json &args);
    Json signalProcess(const Json &args);
    Json waitForExit(const Json &args);
    Json addLink(const Json &args);
    Json setLink(const Json &args);
    Json sendCall(const Json &args);
    Json callResponse(const Json &args);
    Json abandonCall(const Json &args);
    ChildProcess &process(const std::string &name);
    /// Returns the addresses in the ready file of a process, once it has been written.
    Json waitForReady(const std::string &name, const std::filesystem::path &file);

    std::string m_programFolder;
    std::filesystem::path m_folder;
    std::map<std::string, std::unique_ptr<LinkRelay>> m_links;
    std::map<std::string, std::unique_ptr<ChildProcess>> m_processes;
    std::map<std::string, std::unique_ptr<httplib::Client>> m_connections;
    std::map<int, std::unique_ptr<HttpCall>> m_calls;
    int m_lastCall = 0;
};

} // namespace quetzalyoke::scenarios

#endif
