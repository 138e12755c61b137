#ifndef QUETZALYOKE_APPS_AGENT_DISPATCHER_H
#define QUETZALYOKE_APPS_AGENT_DISPATCHER_H

#include "Apps/Agent/AgentSettings.h"
#include "Apps/Agent/AttemptTable.h"

#include <atomic>
#include <thread>
#include <vector>

namespace quetzalyoke {

/// \brief The workers that run waiting attempts, one connection to the backend server each.
class Dispatcher
{
public:
    Dispatcher(const AgentSettings &settings, AttemptTable &table);
    ~Dispatcher();

    void stop();

private:
    void work();

    const AgentSettings &m_settings;
    AttemptTable &m_table;
    std::atomic<bool> m_stopping{false};
    std::vector<std::thread> m_workers;
};

} // namespace quetzalyoke

#endif
