#include "Apps/Agent/Reporter.h"

#include "Adapters/Metrics.h"
#include "Adapters/Process.h"

#include <glog/logging.h>

#include <algorithm>

namespace quetzalyoke {

namespace {

constexpr std::chrono::milliseconds connectTimeout{500};
constexpr std::chrono::milliseconds callTimeout{2000};
constexpr std::chrono::milliseconds orderTimeout{30'000};

const wire::ModelState *findState(const std::vector<wire::ModelState> &states,
                                  const std::string &name)
{
    const auto it = std::find_if(states.begin(), states.end(),
                                 [&name](const auto &state) { return state.name == name; });
    return it == states.end() ? nullptr : &*it;
}

} // namespace

Reporter::Reporter(const AgentSettings &settings, std::string doorAddress, AttemptTable &table)
    : m_settings(settings), m_doorAddress(std::move(doorAddress)), m_table(table),
      m_orders(settings.backend, orderTimeout), m_incarnation(Process::incarnation().count())
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
        if (m_settings.engine)
            carryOutPlan();
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
            it->call([&](wire::GatewayClient &client) { client.report(reply, report); });
            takeReply(reply);
            known = true;
        } catch (const std::exception &) {
            Metrics::count("reports_failed_total", {{"gateway", it->address().text()}});
        }
    }
    if (m_known.exchange(known) != known)
        LOG(INFO) << "event=" << (known ? "gateways_reached" : "gateways_lost");
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
    report.models = m_held;
    report.queued = static_cast<std::int64_t>(m_table.queued());
    report.running = static_cast<std::int64_t>(m_table.running());
    report.draining = m_table.isDraining();
    report.memoryTotalMb = m_settings.memory.count();
    report.capacity = m_settings.concurrency;
    report.planVersion = m_planVersion;
    report.suspicions = m_table.suspicions();
    return report;
}

void Reporter::takeReply(const wire::ReportReply &reply)
{
    const std::lock_guard lock(m_mutex);
    if (reply.planVersion <= m_planVersion)
        return;
    m_planVersion = reply.planVersion;
    m_wanted = reply.wanted;
    LOG(INFO) << "event=plan_taken version=" << m_planVersion << " models=" << m_wanted.size();
}

void Reporter::carryOutPlan()
{
    std::vector<wire::ModelState> wanted;
    std::int64_t fencing = 0;
    {
        const std::lock_guard lock(m_mutex);
        wanted = m_wanted;
        fencing = m_incarnation;
    }
    try {
        for (const Holding &it : m_orders.holdings()) {
            if (!findState(wanted, it.name))
                m_orders.unload(it.name, fencing);
        }
        for (const wire::ModelState &it : wanted) {
            Holding holding{it.name, it.version, Megabytes(it.memoryMb), it.adapter, false};
            m_orders.load(holding, fencing);
        }
        std::vector<wire::ModelState> held;
        for (const Holding &it : m_orders.holdings()) {
            wire::ModelState state;
            state.name = it.name;
            state.version = it.version;
            state.ready = it.ready;
            state.adapter = it.adapter;
            state.memoryMb = it.memory.count();
            held.push_back(state);
        }
        const std::lock_guard lock(m_mutex);
        m_held = held;
    } catch (const std::exception &e) {
        Metrics::count("orders_failed_total");
        LOG_EVERY_N(WARNING, 100) << "event=order_failed reason=\"" << e.what() << '"';
    }
}

} // namespace quetzalyoke
