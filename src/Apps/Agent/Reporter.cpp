#include "Apps/Agent/Reporter.h"

#include "Adapters/EventLog.h"
#include "Adapters/Process.h"

#include <glog/logging.h>

#include <algorithm>
#include <set>

namespace quetzalyoke {

namespace {

constexpr std::size_t mostGateways = 8;

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
    followGateways({});
    m_thread = std::thread([this] { work(); });
}

Reporter::~Reporter()
{
    stop();
}

void Reporter::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
        m_wake.notify_all();
    }
    if (m_thread.joinable())
        m_thread.join();
    // Links that still take a reply need the lock, so it is not held while they end.
    std::map<std::string, std::shared_ptr<GatewayLink>> ended;
    {
        const std::lock_guard lock(m_linksMutex);
        ended.swap(m_links);
    }
    for (const auto &[address, link] : ended)
        link->beginStop();
}

// Links end here and not on their own threads, which can't wait for themselves.
void Reporter::work()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        lock.unlock();
        std::vector<std::string> announced;
        {
            const std::lock_guard linksLock(m_linksMutex);
            announced = m_announced;
        }
        followGateways(announced);
        m_table.expire(Process::now());
        lock.lock();
        m_wake.wait_for(lock, m_settings.reportInterval, [this] { return m_stopping; });
    }
}

// The settings' gateways are always tried, since the announced ones may all have been replaced.
void Reporter::followGateways(const std::vector<std::string> &addresses)
{
    std::set<std::string> wanted(m_settings.gateways.begin(), m_settings.gateways.end());
    for (const std::string &it : addresses) {
        if (wanted.size() < mostGateways)
            wanted.insert(it);
    }
    std::vector<std::shared_ptr<GatewayLink>> ended;
    const std::lock_guard lock(m_linksMutex);
    for (auto it = m_links.begin(); it != m_links.end();) {
        if (wanted.contains(it->first)) {
            ++it;
            continue;
        }
        it->second->beginStop();
        ended.push_back(it->second);
        it = m_links.erase(it);
    }
    for (const std::string &it : wanted) {
        if (m_links.contains(it))
            continue;
        const GatewayLink::Hooks hooks{[this] { return makeReport(); },
                                       [this](const wire::ReportReply &reply, Instant calledAt) {
                                           takeReply(reply, calledAt);
                                       }};
        m_links[it] = std::make_shared<GatewayLink>(it, m_settings.fleetSecret,
                                                    m_settings.reportInterval, hooks);
    }
}

std::vector<std::shared_ptr<GatewayLink>> Reporter::links() const
{
    const std::lock_guard lock(m_linksMutex);
    std::vector<std::shared_ptr<GatewayLink>> found;
    for (const auto &[address, link] : m_links)
        found.push_back(link);
    return found;
}

bool Reporter::isKnown() const
{
    const auto all = links();
    return std::any_of(all.begin(), all.end(), [](const auto &it) { return it->isReached(); });
}

void Reporter::reportNow(std::chrono::milliseconds limit)
{
    const Instant end = Process::now() + limit;
    const auto all = links();
    std::vector<std::int64_t> numbers;
    for (const auto &it : all)
        numbers.push_back(it->requestReport());
    for (std::size_t i = 0; i < all.size(); ++i)
        all[i]->waitFor(numbers[i], end);
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
    report.backendDown = m_table.isBackendDown();
    return report;
}

void Reporter::takeReply(const wire::ReportReply &reply, Instant calledAt)
{
    if (m_settings.learnsGateways && !reply.gateways.empty()) {
        const std::lock_guard lock(m_linksMutex);
        m_announced = reply.gateways;
    }
    if (!m_engine)
        return;
    takeFencing(reply, calledAt);
    takePlan(reply);
}

void Reporter::takePlan(const wire::ReportReply &reply)
{
    // Several gateways answer at once: the lock is held until the newest plan is in force.
    const std::lock_guard lock(m_mutex);
    if (reply.planVersion <= m_planVersion)
        return;
    m_planVersion = reply.planVersion;
    EventLog::record(EventKind::PlanTaken, {}, "version=" + std::to_string(m_planVersion));
    LOG(INFO) << "event=plan_taken version=" << m_planVersion << " models=" << reply.wanted.size();
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
