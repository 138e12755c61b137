#ifndef QUETZALYOKE_APPS_GATEWAY_PLACEMENTCOORDINATOR_H
#define QUETZALYOKE_APPS_GATEWAY_PLACEMENTCOORDINATOR_H

#include "Apps/Gateway/FencingStore.h"
#include "Apps/Gateway/GatewaySettings.h"
#include "Apps/Gateway/GatewayState.h"
#include "Apps/Gateway/PlanStore.h"
#include "Apps/Gateway/PlanningLease.h"
#include "Core/Placement/PlacementView.h"
#include "Wire/generated/quetzalyoke_types.h"

#include <condition_variable>
#include <mutex>
#include <set>
#include <thread>

namespace quetzalyoke {

/// \brief Plans which server holds what, and tells agents the plan and whether they may order.
class PlacementCoordinator
{
public:
    PlacementCoordinator(const GatewaySettings &settings, TableStore &table,
                         const GatewayState &state);
    ~PlacementCoordinator();

    /// Fills in the plan's and the fencing's part of the answer to a report.
    void fillReply(wire::ReportReply &reply, const wire::AgentReport &report,
                   const Configuration &configuration);
    /// Takes which instances the platform's list shows as leaving.
    void setLeavingInstances(std::set<InstanceId> leaving);
    void stop();

private:
    void planLoop();
    void refreshAndPlan();
    void updatePlan();
    void fillPlan(wire::ReportReply &reply, const wire::AgentReport &report,
                  const Configuration &configuration);
    void fillFencing(wire::ReportReply &reply, const wire::AgentReport &report,
                     const Configuration &configuration);

    const GatewaySettings &m_settings;
    const GatewayState &m_state;
    FencingStore m_fencing;
    PlanStore m_plans;
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
