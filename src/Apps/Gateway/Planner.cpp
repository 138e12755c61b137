#include "Apps/Gateway/Planner.h"

#include "Adapters/Metrics.h"
#include "Adapters/Process.h"

namespace quetzalyoke {

namespace {

std::vector<wire::ModelState> wantedFor(const Configuration &configuration,
                                        const ServerName &server)
{
    std::vector<wire::ModelState> wanted;
    const auto it = configuration.plan.holdings.find(server);
    if (it == configuration.plan.holdings.end())
        return wanted;
    for (const PlannedHolding &holding : it->second) {
        wire::ModelState state;
        state.name = holding.name;
        state.version = holding.version;
        state.memoryMb = holding.memory.count();
        state.adapter = holding.adapter;
        wanted.push_back(state);
    }
    return wanted;
}

bool checksFencing(const ServiceList &list, const ServerName &server)
{
    const auto it = list.servers.find(server);
    return it != list.servers.end() && it->second.checksFencing;
}

} // namespace

Planner::Planner(const GatewaySettings &settings, TableStore &table)
    : m_settings(settings), m_fencing(table)
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
        try {
            m_fencing.refresh();
        } catch (const std::exception &) {
            Metrics::count("table_reads_failed_total");
        }
        lock.lock();
        m_stopped.wait_for(lock, m_settings.planInterval, [this] { return m_stopping; });
    }
}

void Planner::answer(wire::ReportReply &reply, const wire::AgentReport &report,
                     const Configuration &configuration)
{
    reply.planVersion = configuration.version.count();
    if (report.planVersion < reply.planVersion)
        reply.wanted = wantedFor(configuration, ServerName(report.serverName));
    if (report.backendKind == "engine")
        answerFencing(reply, report, configuration);
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
