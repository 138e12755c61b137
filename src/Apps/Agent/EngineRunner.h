#ifndef QUETZALYOKE_APPS_AGENT_ENGINERUNNER_H
#define QUETZALYOKE_APPS_AGENT_ENGINERUNNER_H

#include "Apps/Agent/AgentSettings.h"
#include "Apps/Agent/AttemptTable.h"
#include "Apps/Agent/EngineOrders.h"
#include "Core/Placement/EngineKeeper.h"

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <thread>
#include <vector>

namespace quetzalyoke {

/// \brief Reads the engine, sends it the orders that EngineKeeper decides, and tells the attempt
/// table what it may accept.
///
/// One thread reads, another sends, so that a long load delays no reading.
/// Lock order: the runner's lock before the attempt table's.
class EngineRunner
{
public:
    EngineRunner(const AgentSettings &settings, AttemptTable &table);
    ~EngineRunner();

    void setPlan(std::vector<Holding> wanted);
    void grant(const FencingGrant &grant);
    /// Another agent keeps this engine now: no more orders, no new work.
    void supersede();
    void stop();

    /// What the engine holds; ready only what this agent offers.
    std::vector<Holding> held() const;
    Megabytes worstCase() const;

private:
    void readEngine();
    void sendOrders();
    void takeReport(const EngineReport &report, Instant readFrom);
    void decideLocked(Instant now);
    void send(const EngineOrder &order);

    const AgentSettings &m_settings;
    AttemptTable &m_table;
    EngineOrders m_reads;
    EngineOrders m_orders;
    mutable std::mutex m_mutex; // of the members below
    std::condition_variable m_changed;
    EngineKeeper m_keeper;
    std::optional<EngineOrder> m_next;
    bool m_stopping = false;
    std::vector<std::thread> m_threads;
};

} // namespace quetzalyoke

#endif
