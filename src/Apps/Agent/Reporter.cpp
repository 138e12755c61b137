#include "Apps/Agent/Reporter.h"

#include "Adapters/EventLog.h"
#include "Adapters/Metrics.h"
#include "Adapters/Process.h"

#include <glog/logging.h>

#include <algorithm>

namespace quetzalyoke {

namespace {

constexpr std::chrono::milliseconds connectTimeout{500};
constexpr std::chrono::milliseconds callTimeout{2000};

std::vector<Holding> holdingsFrom(const std::vector<wire::ModelState> &states)
{
    std::vector<Holding> holdings;
    for (const wire::ModelState &it : states)
        holdings.push_back({it.name, it.version, Megabytes(it.memoryMb), it.adapter, false});
    return holdings;
}

wire::ModelState stateFrom(const Holding &holding)
{
    wire::ModelState state;
    state.name = holding.name;
    state.version = holding.version;
    state.ready = holding.ready;
    state.adapter = holding.adapter;
    state.memoryMb = holding.memory.count();
    return state;
}

} // namespace

Reporter::Reporter(const AgentSettings &settings, std::string doorAddress, AttemptTable &table,
                   EngineRunner *engine)
    : m_settings(settings), m_doorAddress(std::move(doorAddress)), m_table(table), m_engine(engine),
      m_incarnation(Process::incarnation().count())
{
    for (const std::string &it : settings.gateways) {
        m_gateways.push_back(std::make_unique<GatewayPool>(Address::parse(it), settings.fleetSecret,
                                                           connectTimeout, callTimeout));
    }
    m_thread = std::thread([this] { work(); });
}

Reporter::~Reporter()
{
    stop();
}

void Reporter::stop()
{
    m_stopping = true;
    if (m_thread.joinable())
        m_thread.join();
}

void Reporter::work()
{
    while (!m_stopping) {
        reportNow();
        m_table.expire(Process::now());
        std::this_thread::sleep_for(m_settings.reportInterval);
    }
}

void Reporter::reportNow()
{
    const wire::AgentReport report = makeReport();
    bool known = false;
    for (const auto &it : m_gateways) {
        try {
            wire::ReportReply reply;
            const Instant calledAt = Process::now();
            it->call([&](wire::GatewayClient &client) { client.report(reply, report); });
            EventLog::observe(reply.clock);
            takeReply(reply, calledAt);
            known = true;
        } catch (const std::exception &) {
            Metrics::count("reports_failed_total", {{"gateway", it->address().text()}});
        }
    }
    if (m_known.exchange(known) != known) {
        EventLog::record(known ? EventKind::PeerReached : EventKind::PeerLost, {}, "gateways");
        LOG(INFO) << "event=" << (known ? "gateways_reached" : "gateways_lost");
    }
}

wire::AgentReport Reporter::makeReport()
{
    const std::lock_guard lock(m_mutex);
    wire::AgentReport report;
    report.instance = m_settings.instance.text();
    report.incarnation = m_incarnation;
    report.sequence = ++m_sequence;
    report.zone = m_settings.zone.text();
    report.address = m_doorAddress;
    report.backendKind = m_settings.engine ? "engine" : "service";
    report.serverName = m_settings.server.text();
    if (m_engine) {
        const auto loads = m_table.loads();
        for (const Holding &it : m_engine->held()) {
            report.models.push_back(stateFrom(it));
            const auto load = loads.find(it.name);
            report.models.back().load = load == loads.end() ? 0 : load->second;
        }
        report.memoryPledgedMb = m_engine->worstCase().count();
    }
    report.fencingEpoch = m_fencingEpoch;
    report.queued = static_cast<std::int64_t>(m_table.queued());
    report.running = static_cast<std::int64_t>(m_table.running());
    report.draining = m_table.isDraining();
    report.memoryTotalMb = m_settings.memory.count();
    report.capacity = m_settings.concurrency;
    report.planVersion = m_planVersion;
    report.clock = EventLog::stamp();
    report.suspicions = m_table.suspicions();
    return report;
}

void Reporter::takeReply(const wire::ReportReply &reply, Instant calledAt)
{
    if (!m_engine)
        return;
    takeFencing(reply, calledAt);
    takePlan(reply);
}

void Reporter::takePlan(const wire::ReportReply &reply)
{
    {
        const std::lock_guard lock(m_mutex);
        if (reply.planVersion <= m_planVersion)
            return;
        m_planVersion = reply.planVersion;
        EventLog::record(EventKind::PlanTaken, {}, "version=" + std::to_string(m_planVersion));
        LOG(INFO) << "event=plan_taken version=" << m_planVersion
                  << " models=" << reply.wanted.size();
    }
    m_engine->setPlan(holdingsFrom(reply.wanted));
}

// The gateway's knowledge was true when it read the table, so the right to order counts from then.
void Reporter::takeFencing(const wire::ReportReply &reply, Instant calledAt)
{
    if (reply.fencingEpoch == 0)
        return;
    {
        const std::lock_guard lock(m_mutex);
        if (m_fencingEpoch == 0) {
            m_fencingEpoch = reply.fencingEpoch;
            LOG(INFO) << "event=fencing_granted epoch=" << m_fencingEpoch;
        }
        if (reply.fencingEpoch < m_fencingEpoch)
            return;
        if (reply.fencingEpoch > m_fencingEpoch) {
            m_engine->supersede();
            return;
        }
    }
    const Instant validUntil
        = calledAt - std::chrono::milliseconds(reply.fencingAgeMillis) + m_settings.orderAuthority;
    m_engine->grant({reply.fencingEpoch, reply.fencingChecked, validUntil});
}

} // namespace quetzalyoke
