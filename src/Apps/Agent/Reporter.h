#ifndef QUETZALYOKE_APPS_AGENT_REPORTER_H
#define QUETZALYOKE_APPS_AGENT_REPORTER_H

#include "Adapters/ThriftPool.h"
#include "Apps/Agent/AgentSettings.h"
#include "Apps/Agent/AttemptTable.h"
#include "Apps/Agent/EngineRunner.h"
#include "Wire/generated/Gateway.h"

#include <atomic>
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

    /// Sends one report now, for example to say that this server leaves.
    void reportNow();
    void stop();
    /// Whether at least one gateway took the last report.
    bool isKnown() const { return m_known; }

private:
    using GatewayPool = ThriftPool<wire::GatewayClient>;

    void work();
    wire::AgentReport makeReport();
    void takeReply(const wire::ReportReply &reply, Instant calledAt);
    void takePlan(const wire::ReportReply &reply);
    void takeFencing(const wire::ReportReply &reply, Instant calledAt);

    const AgentSettings &m_settings;
    const std::string m_doorAddress;
    AttemptTable &m_table;
    EngineRunner *const m_engine;
    const std::int64_t m_incarnation;
    std::vector<std::unique_ptr<GatewayPool>> m_gateways;
    std::mutex m_mutex; // of the members below
    std::int64_t m_sequence = 0;
    std::int64_t m_planVersion = 0;
    std::int64_t m_fencingEpoch = 0; // 0: not granted yet
    std::atomic<bool> m_known{false};
    std::atomic<bool> m_stopping{false};
    std::thread m_thread;
};

} // namespace quetzalyoke

#endif
