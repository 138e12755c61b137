#ifndef QUETZALYOKE_APPS_AGENT_ATTEMPTWORKERPOOL_H
#define QUETZALYOKE_APPS_AGENT_ATTEMPTWORKERPOOL_H

#include "Apps/Agent/AgentSettings.h"
#include "Apps/Agent/AttemptTable.h"

#include <atomic>
#include <functional>
#include <thread>
#include <vector>

namespace quetzalyoke {

class BackendClient;
class BackendHealth;

/// \brief The workers that run waiting attempts, one connection to the backend server each.
class AttemptWorkerPool
{
public:
    /// \a onCrash runs after a crash of the backend server was noted, on a worker's thread.
    AttemptWorkerPool(const AgentSettings &settings, AttemptTable &table, BackendHealth &health,
                      std::function<void()> onCrash);
    ~AttemptWorkerPool();

    void stop();

private:
    void runWorkerLoop();
    void runAttempt(BackendClient &client, Attempt &attempt);

    const AgentSettings &m_settings;
    AttemptTable &m_table;
    BackendHealth &m_health;
    const std::function<void()> m_onCrash;
    std::atomic<bool> m_stopping{false};
    std::vector<std::thread> m_workers;
};

} // namespace quetzalyoke

#endif
