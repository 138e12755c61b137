#ifndef QUETZALYOKE_APPS_AGENT_REPORTER_H
#define QUETZALYOKE_APPS_AGENT_REPORTER_H

#include "Adapters/ThriftPool.h"
#include "Apps/Agent/AgentSettings.h"
#include "Apps/Agent/AttemptTable.h"
#include "Apps/Agent/EngineOrders.h"
#include "Wire/generated/Gateway.h"

#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace quetzalyoke {

/// \brief Announces the backend server to the gateways and carries out their plan.
class Reporter
{
public:
    Reporter(const AgentSettings &settings, std::string doorAddress, AttemptTable &table);
    ~Reporter();

    /// Sends one report now, for example to say that this server leaves.
    void reportNow();
    void stop();
    /// Whether at least one gateway took the last report.
    bool isKnown() const { return m_known; }

private:
    using GatewayPool = ThriftPool<wire::GatewayClient>;

    void work();
    wire::AgentReport makeReport();
    void takeReply(const wire::ReportReply &reply);
    void carryOutPlan();

    const AgentSettings &m_settings;
    const std::string m_doorAddress;
    AttemptTable &m_table;
    EngineOrders m_orders;
    const std::int64_t m_incarnation;
    std::vector<std::unique_ptr<GatewayPool>> m_gateways;
    std::mutex m_mutex; // of the members below
    std::int64_t m_sequence = 0;
    std::int64_t m_planVersion = 0;
    std::vector<wire::ModelState> m_wanted;
    std::vector<wire::ModelState> m_held;
    std::atomic<bool> m_known{false};
    std::atomic<bool> m_stopping{false};
    std::thread m_thread;
};

} // namespace quetzalyoke

#endif
