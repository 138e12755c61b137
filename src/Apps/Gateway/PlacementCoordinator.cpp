#include "Apps/Gateway/PlacementCoordinator.h"

#include "Adapters/Metrics.h"
#include "Adapters/Process.h"

namespace quetzalyoke {

namespace {

std::vector<HostedModel> minimumModelsOn(const Configuration &configuration,
                                         const ServerName &server)
{
    std::vector<HostedModel> models;
    const auto it = configuration.minimumPlacement.modelsByServer.find(server);
    if (it == configuration.minimumPlacement.modelsByServer.end())
        return models;
    for (const PlannedModel &planned : it->second) {
        models.push_back({planned.name, planned.version, planned.memory, planned.isAdapter, false});
    }
    return models;
}

std::vector<wire::ModelState> toWire(const std::vector<HostedModel> &models)
{
    std::vector<wire::ModelState> states;
    for (const HostedModel &it : models) {
        wire::ModelState state;
        state.name = it.name;
        state.version = it.version;
        state.memoryMb = it.memory.count();
        state.adapter = it.isAdapter;
        states.push_back(state);
    }
    return states;
}

EnginePlacementStatus statusFrom(const wire::AgentReport &report)
{
    EnginePlacementStatus status;
    status.instance = InstanceId(report.instance);
    status.incarnation = Incarnation(report.incarnation);
    status.sequence = report.sequence;
    status.server = ServerName(report.serverName);
    status.zone = ZoneName(report.zone);
    status.memory = Megabytes(report.memoryTotalMb);
    status.capacity = report.capacity;
    status.draining = report.draining || report.backendDown;
    for (const wire::ModelState &it : report.models)
        status.models.push_back({it.name, it.version, it.ready, it.load});
    return status;
}

bool checksFencing(const ServiceList &list, const ServerName &server)
{
    const auto it = list.servers.find(server);
    return it != list.servers.end() && it->second.checksFencing;
}

} // namespace

PlacementCoordinator::PlacementCoordinator(const GatewaySettings &settings, TableStore &table,
                                           const GatewayState &state)
    : m_settings(settings), m_state(state), m_fencing(table), m_plans(table, settings.planShards),
      m_lease(table, settings.instance, settings.planLeaseDuration),
      m_view(settings.agentSilenceTimeout, Process::now())
{
    m_thread = std::thread([this] { planLoop(); });
}

PlacementCoordinator::~PlacementCoordinator()
{
    stop();
}

void PlacementCoordinator::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
        m_stopped.notify_all();
    }
    if (m_thread.joinable())
        m_thread.join();
}

void PlacementCoordinator::planLoop()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        lock.unlock();
        refreshAndPlan();
        lock.lock();
        m_stopped.wait_for(lock, m_settings.planInterval, [this] { return m_stopping; });
    }
}

// While the table is unavailable, the last plan stays in force and the agents' right to give orders
// expires.
void PlacementCoordinator::refreshAndPlan()
{
    try {
        m_fencing.refresh();
        if (m_settings.dynamicPlacement)
            updatePlan();
    } catch (const std::exception &) {
        Metrics::incrementCounter("plan_refreshes_failed_total");
    }
}

void PlacementCoordinator::updatePlan()
{
    m_plans.refresh();
    const auto configuration = m_state.configuration();
    const Instant now = Process::now();
    if (!configuration || !m_lease.acquireOrRenew(now))
        return;
    const auto current = m_plans.current();
    PlacementPlan next;
    {
        const std::lock_guard lock(m_viewMutex);
        if (!m_view.hasEnoughReports(configuration->serviceList, now))
            return;
        PlacementInput input
            = m_view.makePlannerInput(configuration->serviceList, current->plan, now);
        input.maxLoadsInFlight = m_settings.maxConcurrentLoads;
        PlacementPlanner planner(input);
        next = planner.nextPlan(current->plan);
        Metrics::setGauge("models_unplaced", static_cast<double>(planner.unplaced().size()));
    }
    m_plans.commit(next, configuration->version);
}

void PlacementCoordinator::setLeavingInstances(std::set<InstanceId> leaving)
{
    const std::lock_guard lock(m_viewMutex);
    m_view.setLeavingInstances(std::move(leaving));
}

void PlacementCoordinator::fillReply(wire::ReportReply &reply, const wire::AgentReport &report,
                                     const Configuration &configuration)
{
    if (report.backendKind != "engine")
        return;
    {
        const std::lock_guard lock(m_viewMutex);
        m_view.update(statusFrom(report), Process::now());
    }
    fillPlan(reply, report, configuration);
    fillFencing(reply, report, configuration);
}

// A plan is sent only while the service list it was made for is in force, so that all gateways send
// the same models for the same plan version.
void PlacementCoordinator::fillPlan(wire::ReportReply &reply, const wire::AgentReport &report,
                                    const Configuration &configuration)
{
    const ServerName server(report.serverName);
    if (!m_settings.dynamicPlacement) {
        reply.planVersion = configuration.version.count();
        if (report.planVersion < reply.planVersion)
            reply.wanted = toWire(minimumModelsOn(configuration, server));
        return;
    }
    const auto current = m_plans.current();
    if (current->configurationVersion != configuration.version)
        return;
    reply.planVersion = current->version.count();
    if (report.planVersion < reply.planVersion)
        reply.wanted = toWire(current->plan.modelsOn(server, configuration.serviceList));
}

void PlacementCoordinator::fillFencing(wire::ReportReply &reply, const wire::AgentReport &report,
                                       const Configuration &configuration)
{
    const ServerName server(report.serverName);
    std::optional<FencingStore::KnownEpoch> known;
    try {
        known = report.fencingEpoch == 0 ? m_fencing.acquireEpoch(
                    server, InstanceId(report.instance), Incarnation(report.incarnation))
                                         : m_fencing.newestEpoch(server);
    } catch (const std::exception &) {
        Metrics::incrementCounter("fencing_mints_failed_total");
    }
    if (!known)
        return;
    const auto age = Process::now() - known->readAt;
    reply.fencingEpoch = known->epoch;
    reply.fencingAgeMillis = std::chrono::ceil<std::chrono::milliseconds>(age).count();
    reply.fencingChecked = checksFencing(configuration.serviceList, server);
}

} // namespace quetzalyoke
