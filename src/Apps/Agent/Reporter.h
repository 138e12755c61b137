#ifndef QUETZALYOKE_APPS_AGENT_REPORTER_H
#define QUETZALYOKE_APPS_AGENT_REPORTER_H

#include "Apps/Agent/AgentSettings.h"
#include "Apps/Agent/AttemptTable.h"
#include "Apps/Agent/EngineRunner.h"
#include "Apps/Agent/GatewayLink.h"
#include "Wire/generated/Gateway.h"

#include <condition_variable>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace quetzalyoke {

/// \brief Announces the backend server to the gateways and passes on what they answer.
class Reporter
{
public:
    /// \a engine is nothing beside a plain service.
    Reporter(const AgentSettings &settings, std::string doorAddress, AttemptTable &table,
             EngineRunner *engine);
    ~Reporter();

    /// Sends a report to every gateway now, for example to say that this server leaves, and
    /// waits until each has taken it, at most for \a limit.
    void reportNow(std::chrono::milliseconds limit);
    void stop();
    /// Whether at least one gateway took the last report.
    bool isKnown() const;

private:
    void work();
    void followGateways(const std::vector<std::string> &addresses);
    std::vector<std::shared_ptr<GatewayLink>> links() const;
    wire::AgentReport makeReport();
    void takeReply(const wire::ReportReply &reply, Instant calledAt);
    void takePlan(const wire::ReportReply &reply);
    void takeFencing(const wire::ReportReply &reply, Instant calledAt);

    const AgentSettings &m_settings;
    const std::string m_doorAddress;
    AttemptTable &m_table;
    EngineRunner *const m_engine;
    const std::int64_t m_incarnation;
    // Lock order: m_linksMutex is taken alone, m_mutex before the engine runner's.
    mutable std::mutex m_linksMutex; // of the two members below
    std::map<std::string, std::shared_ptr<GatewayLink>> m_links; // by address
    std::vector<std::string> m_announced; // addresses as a gateway told them last
    std::mutex m_mutex; // of the members below
    std::int64_t m_sequence = 0;
    std::int64_t m_planVersion = 0;
    std::int64_t m_fencingEpoch = 0; // 0: not granted yet
    bool m_stopping = false;
    std::condition_variable m_wake;
    std::thread m_thread;
};

} // namespace quetzalyoke

#endif
