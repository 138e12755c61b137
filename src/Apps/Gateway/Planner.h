#ifndef QUETZALYOKE_APPS_GATEWAY_PLANNER_H
#define QUETZALYOKE_APPS_GATEWAY_PLANNER_H

#include "Apps/Gateway/FencingBook.h"
#include "Apps/Gateway/GatewaySettings.h"
#include "Apps/Gateway/PlanBook.h"
#include "Apps/Gateway/PlanningLease.h"
#include "Apps/Gateway/SharedState.h"
#include "Core/Placement/PlacementView.h"
#include "Wire/generated/quetzalyoke_types.h"

#include <condition_variable>
#include <mutex>
#include <set>
#include <thread>

namespace quetzalyoke {

/// \brief Plans which server holds what, and tells agents the plan and whether they may order.
class Planner
{
public:
    Planner(const GatewaySettings &settings, TableStore &table, const SharedState &state);
    ~Planner();

    /// Fills in the plan's and the fencing's part of the answer to a report.
    void answer(wire::ReportReply &reply, const wire::AgentReport &report,
                const Configuration &configuration);
    /// Takes which instances the platform's list shows as leaving.
    void setListedLeaving(std::set<InstanceId> leaving);
    void stop();

private:
    void work();
    void refresh();
    void plan();
    void answerPlan(wire::ReportReply &reply, const wire::AgentReport &report,
                    const Configuration &configuration);
    void answerFencing(wire::ReportReply &reply, const wire::AgentReport &report,
                       const Configuration &configuration);

    const GatewaySettings &m_settings;
    const SharedState &m_state;
    FencingBook m_fencing;
    PlanBook m_plans;
    PlanningLease m_lease;
    std::mutex m_viewMutex; // of the next member
    PlacementView m_view;
    std::mutex m_mutex; // of the members below
    std::condition_variable m_stopped;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace quetzalyoke

#endif
