#ifndef QUETZALYOKE_APPS_GATEWAY_PLANNER_H
#define QUETZALYOKE_APPS_GATEWAY_PLANNER_H

#include "Apps/Gateway/FencingBook.h"
#include "Apps/Gateway/GatewaySettings.h"
#include "Apps/Gateway/SharedState.h"
#include "Wire/generated/quetzalyoke_types.h"

#include <condition_variable>
#include <mutex>
#include <thread>

namespace quetzalyoke {

/// \brief Tells agents what their servers should hold and whether they may order.
class Planner
{
public:
    Planner(const GatewaySettings &settings, TableStore &table);
    ~Planner();

    /// Fills in the plan's and the fencing's part of the answer to a report.
    void answer(wire::ReportReply &reply, const wire::AgentReport &report,
                const Configuration &configuration);
    void stop();

private:
    void work();
    void answerFencing(wire::ReportReply &reply, const wire::AgentReport &report,
                       const Configuration &configuration);

    const GatewaySettings &m_settings;
    FencingBook m_fencing;
    std::mutex m_mutex; // of the members below
    std::condition_variable m_stopped;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace quetzalyoke

#endif
