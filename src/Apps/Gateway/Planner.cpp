#include "Apps/Gateway/Planner.h"

#include "Adapters/Metrics.h"
#include "Adapters/Process.h"

namespace quetzalyoke {

namespace {

std::vector<Holding> floorHoldings(const Configuration &configuration, const ServerName &server)
{
    std::vector<Holding> holdings;
    const auto it = configuration.plan.holdings.find(server);
    if (it == configuration.plan.holdings.end())
        return holdings;
    for (const PlannedHolding &holding : it->second) {
        holdings.push_back({holding.name, holding.version, holding.memory, holding.adapter, false});
    }
    return holdings;
}

std::vector<wire::ModelState> toWire(const std::vector<Holding> &holdings)
{
    std::vector<wire::ModelState> states;
    for (const Holding &it : holdings) {
        wire::ModelState state;
        state.name = it.name;
        state.version = it.version;
        state.memoryMb = it.memory.count();
        state.adapter = it.adapter;
        states.push_back(state);
    }
    return states;
}

EngineStatus statusFrom(const wire::AgentReport &report)
{
    EngineStatus status;
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

Planner::Planner(const GatewaySettings &settings, TableStore &table, const SharedState &state)
    : m_settings(settings), m_state(state), m_fencing(table), m_plans(table, settings.planShards),
      m_lease(table, settings.instance, settings.planLease),
      m_view(settings.agentSilence, Process::now())
{
    m_thread = std::thread([this] { work(); });
}

Planner::~Planner()
{
    stop();
}

void Planner::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
        m_stopped.notify_all();
    }
    if (m_thread.joinable())
        m_thread.join();
}

void Planner::work()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        lock.unlock();
        refresh();
        lock.lock();
        m_stopped.wait_for(lock, m_settings.planInterval, [this] { return m_stopping; });
    }
}

// While the table is out the last plan stays in force and the right to order runs out.
void Planner::refresh()
{
    try {
        m_fencing.refresh();
        if (m_settings.dynamicPlacement)
            plan();
    } catch (const std::exception &) {
        Metrics::count("plan_refreshes_failed_total");
    }
}

void Planner::plan()
{
    m_plans.refresh();
    const auto configuration = m_state.configuration();
    const Instant now = Process::now();
    if (!configuration || !m_lease.hold(now))
        return;
    const auto current = m_plans.current();
    PlacementPlan next;
    {
        const std::lock_guard lock(m_viewMutex);
        if (!m_view.isComplete(configuration->list, now))
            return;
        PlacementInput input = m_view.input(configuration->list, current->plan, now);
        input.loadsInFlight = m_settings.planLoads;
        PlacementPlanner planner(input);
        next = planner.next(current->plan);
        Metrics::gauge("models_unplaced", static_cast<double>(planner.unplaced().size()));
    }
    m_plans.commit(next, configuration->version);
}

void Planner::setListedLeaving(std::set<InstanceId> leaving)
{
    const std::lock_guard lock(m_viewMutex);
    m_view.setListedLeaving(std::move(leaving));
}

void Planner::answer(wire::ReportReply &reply, const wire::AgentReport &report,
                     const Configuration &configuration)
{
    if (report.backendKind != "engine")
        return;
    {
        const std::lock_guard lock(m_viewMutex);
        m_view.update(statusFrom(report), Process::now());
    }
    answerPlan(reply, report, configuration);
    answerFencing(reply, report, configuration);
}

// A plan is passed on only together with the service list that it was made for: then all
// gateways give the same answer for the same version.
void Planner::answerPlan(wire::ReportReply &reply, const wire::AgentReport &report,
                         const Configuration &configuration)
{
    const ServerName server(report.serverName);
    if (!m_settings.dynamicPlacement) {
        reply.planVersion = configuration.version.count();
        if (report.planVersion < reply.planVersion)
            reply.wanted = toWire(floorHoldings(configuration, server));
        return;
    }
    const auto current = m_plans.current();
    if (current->configuration != configuration.version)
        return;
    reply.planVersion = current->version.count();
    if (report.planVersion < reply.planVersion)
        reply.wanted = toWire(current->plan.holdingsOf(server, configuration.list));
}

void Planner::answerFencing(wire::ReportReply &reply, const wire::AgentReport &report,
                            const Configuration &configuration)
{
    const ServerName server(report.serverName);
    std::optional<FencingBook::Known> known;
    try {
        known = report.fencingEpoch == 0
            ? m_fencing.mint(server, InstanceId(report.instance), Incarnation(report.incarnation))
            : m_fencing.newest(server);
    } catch (const std::exception &) {
        Metrics::count("fencing_mints_failed_total");
    }
    if (!known)
        return;
    const auto age = Process::now() - known->readAt;
    reply.fencingEpoch = known->epoch;
    reply.fencingAgeMillis = std::chrono::ceil<std::chrono::milliseconds>(age).count();
    reply.fencingChecked = checksFencing(configuration.list, server);
}

} // namespace quetzalyoke
