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

/// \brief Polls the engine's report, sends the orders that EngineReconciler chooses, and sets the
/// targets that the attempt table accepts.
///
/// One thread polls and another sends orders, so that a long load does not delay polling.
/// Lock order: the controller's mutex before the attempt table's.
class EngineController
{
public:
    EngineController(const AgentSettings &settings, AttemptTable &table);
    ~EngineController();

    void setPlan(std::vector<HostedModel> wanted);
    void applyFencingGrant(const FencingGrant &grant);
    /// Stops sending orders and drains the attempt table, since another agent now controls this
    /// engine.
    void onSuperseded();
    void stop();

    /// Returns the engine's loaded models; only those that this agent accepts requests for are
    /// ready.
    std::vector<HostedModel> reportedModels() const;
    /// Returns the memory that the engine needs if every order in flight takes effect.
    Megabytes worstCaseMemory() const;

private:
    void runPollLoop();
    void runOrderLoop();
    void applyReport(const EngineReport &report, Instant readAt);
    void updateLocked(Instant now);
    void sendOrder(const EngineOrder &order);

    const AgentSettings &m_settings;
    AttemptTable &m_table;
    EngineClient m_reportClient;
    EngineClient m_orderClient;
    mutable std::mutex m_mutex; // guards the members below
    std::condition_variable m_changed;
    EngineReconciler m_reconciler;
    std::optional<EngineOrder> m_pendingOrder;
    bool m_stopping = false;
    std::vector<std::thread> m_threads;
};

} // namespace quetzalyoke

#endif
