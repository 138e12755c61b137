#ifndef QUETZALYOKE_APPS_AGENT_AGENTREPORTER_H
#define QUETZALYOKE_APPS_AGENT_AGENTREPORTER_H

#include "Apps/Agent/AgentSettings.h"
#include "Apps/Agent/AttemptTable.h"
#include "Apps/Agent/EngineController.h"
#include "Apps/Agent/GatewayReportSender.h"
#include "Wire/generated/Gateway.h"

#include <condition_variable>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace quetzalyoke {

/// \brief Announces the backend server to the gateways and passes on what they answer.
class AgentReporter
{
public:
    /// \a engine is nothing beside a plain service.
    AgentReporter(const AgentSettings &settings, std::string doorAddress, AttemptTable &table,
                  EngineController *engine);
    ~AgentReporter();

    /// Sends a report to every gateway now, for example to say that this server leaves, and
    /// waits until each has taken it, at most for \a limit.
    void reportAndWait(std::chrono::milliseconds limit);
    void stop();
    /// Whether at least one gateway took the last report.
    bool isAnyGatewayReachable() const;

private:
    void runUpdateLoop();
    void updateGateways(const std::vector<std::string> &addresses);
    std::vector<std::shared_ptr<GatewayReportSender>> senders() const;
    wire::AgentReport makeReport();
    void onReply(const wire::ReportReply &reply, Instant calledAt);
    void applyPlan(const wire::ReportReply &reply);
    void applyFencing(const wire::ReportReply &reply, Instant calledAt);

    const AgentSettings &m_settings;
    const std::string m_advertisedAddress;
    AttemptTable &m_table;
    EngineController *const m_engine;
    const std::int64_t m_incarnation;
    // Lock order: m_linksMutex is taken alone, m_mutex before the engine runner's.
    mutable std::mutex m_sendersMutex; // of the two members below
    std::map<std::string, std::shared_ptr<GatewayReportSender>> m_senders; // by address
    std::vector<std::string> m_learnedGateways; // addresses as a gateway told them last
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
