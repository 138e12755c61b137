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

/// \brief Plans which models each server loads, and reports the plan and the fencing epoch to
/// agents.
class PlacementCoordinator
{
public:
    PlacementCoordinator(const GatewaySettings &settings, TableStore &table,
                         const GatewayState &state);
    ~PlacementCoordinator();

    /// Fills in the plan and the fencing epoch in the reply to \a report.
    void fillReply(wire::ReportReply &reply, const wire::AgentReport &report,
                   const Configuration &configuration);
    /// Sets the instances that the platform's list shows as leaving.
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
    std::mutex m_viewMutex; // protects m_view
    PlacementView m_view;
    std::mutex m_mutex; // protects the members below
    std::condition_variable m_stopped;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace quetzalyoke

#endif
