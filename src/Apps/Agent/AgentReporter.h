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

/// \brief Reports the backend server's state to the gateways and applies their replies.
class AgentReporter
{
public:
    /// Starts reporting. \a thriftAddress is the address that gateways are told; \a engine is null
    /// where the backend server is a plain service.
    AgentReporter(const AgentSettings &settings, std::string thriftAddress, AttemptTable &table,
                  EngineController *engine);
    ~AgentReporter();

    /// Sends a report to every gateway now, for example to announce that this server is leaving,
    /// and waits until each report was sent or failed, but at most for \a limit.
    void reportAndWait(std::chrono::milliseconds limit);
    void stop();
    /// Returns whether the last report to at least one gateway succeeded.
    bool isAnyGatewayReachable() const;

private:
    void runUpdateLoop();
    void updateGateways(const std::vector<std::string> &addresses);
    std::vector<std::shared_ptr<GatewayReportSender>> senders() const;
    wire::AgentReport makeReport();
    void onReply(const wire::ReportReply &reply, Instant sentAt);
    void applyPlan(const wire::ReportReply &reply);
    void applyFencing(const wire::ReportReply &reply, Instant sentAt);

    const AgentSettings &m_settings;
    const std::string m_advertisedAddress;
    AttemptTable &m_table;
    EngineController *const m_engine;
    const std::int64_t m_incarnation;
    // Lock order: m_sendersMutex and m_mutex are never held together; m_mutex is locked before the
    // mutex of EngineController.
    mutable std::mutex m_sendersMutex; // guards the two members below
    std::map<std::string, std::shared_ptr<GatewayReportSender>> m_senders; // by address
    std::vector<std::string> m_learnedGateways; // addresses from the last reply that listed any
    std::mutex m_mutex; // guards the members below
    std::int64_t m_sequence = 0;
    std::int64_t m_planVersion = 0;
    std::int64_t m_fencingEpoch = 0; // 0 until the first grant
    bool m_stopping = false;
    std::condition_variable m_wake;
    std::thread m_thread;
};

} // namespace quetzalyoke

#endif
