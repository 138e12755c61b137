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

/// \brief Worker threads that run queued attempts, each with its own connection to the backend
/// server.
class AttemptWorkerPool
{
public:
    /// Starts the workers. A worker calls \a onCrash after it has recorded a crash of the backend
    /// server.
    AttemptWorkerPool(const AgentSettings &settings, AttemptTable &table, BackendHealth &health,
                      std::function<void()> onCrash);
    ~AttemptWorkerPool();

    /// Lets the running attempts end and joins the threads.
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
