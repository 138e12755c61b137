#ifndef QUETZALYOKE_APPS_AGENT_ENGINECONTROLLER_H
#define QUETZALYOKE_APPS_AGENT_ENGINECONTROLLER_H

#include "Apps/Agent/AgentSettings.h"
#include "Apps/Agent/AttemptTable.h"
#include "Apps/Agent/EngineClient.h"
#include "Core/Placement/EngineReconciler.h"

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <thread>
#include <vector>

namespace quetzalyoke {

/// \brief Reads the engine, sends it the orders that EngineReconciler decides, and tells the
/// attempt table what it may accept.
///
/// One thread reads, another sends, so that a long load delays no reading.
/// Lock order: the runner's lock before the attempt table's.
class EngineController
{
public:
    EngineController(const AgentSettings &settings, AttemptTable &table);
    ~EngineController();

    void setPlan(std::vector<HostedModel> wanted);
    void applyFencingGrant(const FencingGrant &grant);
    /// Another agent keeps this engine now: no more orders, no new work.
    void onSuperseded();
    void stop();

    /// What the engine holds; ready only what this agent offers.
    std::vector<HostedModel> reportedModels() const;
    Megabytes worstCaseMemory() const;

private:
    void runPollLoop();
    void runOrderLoop();
    void applyReport(const EngineReport &report, Instant readFrom);
    void updateLocked(Instant now);
    void sendOrder(const EngineOrder &order);

    const AgentSettings &m_settings;
    AttemptTable &m_table;
    EngineClient m_reportClient;
    EngineClient m_orderClient;
    mutable std::mutex m_mutex; // of the members below
    std::condition_variable m_changed;
    EngineReconciler m_keeper;
    std::optional<EngineOrder> m_pendingOrder;
    bool m_stopping = false;
    std::vector<std::thread> m_threads;
};

} // namespace quetzalyoke

#endif
