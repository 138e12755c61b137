#include "Apps/Agent/AgentReporter.h"

#include "Adapters/Metrics.h"
#include "Adapters/Process.h"
#include "Adapters/ProcessTimeline.h"
#include "Core/Error.h"

#include <glog/logging.h>

#include <algorithm>
#include <set>

namespace quetzalyoke {

namespace {

constexpr std::size_t maxGateways = 8;

std::vector<HostedModel> hostedModelsFrom(const std::vector<wire::ModelState> &states)
{
    std::vector<HostedModel> hosted;
    for (const wire::ModelState &it : states)
        hosted.push_back({it.name, it.version, Megabytes(it.memoryMb), it.adapter, false});
    return hosted;
}

wire::ModelState stateFrom(const HostedModel &model)
{
    wire::ModelState state;
    state.name = model.name;
    state.version = model.version;
    state.ready = model.isReady;
    state.adapter = model.isAdapter;
    state.memoryMb = model.memory.count();
    return state;
}

} // namespace

AgentReporter::AgentReporter(const AgentSettings &settings, std::string thriftAddress,
                             AttemptTable &table, EngineController *engine)
    : m_settings(settings), m_advertisedAddress(std::move(thriftAddress)), m_table(table),
      m_engine(engine), m_incarnation(Process::incarnation().count())
{
    updateGateways({});
    m_thread = std::thread([this] { runUpdateLoop(); });
}

AgentReporter::~AgentReporter()
{
    stop();
}

void AgentReporter::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
        m_wake.notify_all();
    }
    if (m_thread.joinable())
        m_thread.join();
    // A sender that is still handling a reply needs this lock, so the lock is released before the
    // senders are destroyed.
    std::map<std::string, std::shared_ptr<GatewayReportSender>> removed;
    {
        const std::lock_guard lock(m_sendersMutex);
        removed.swap(m_senders);
    }
    for (const auto &[address, sender] : removed)
        sender->requestStop();
}

// Senders are removed on this thread, since a sender's own thread can't join itself.
void AgentReporter::runUpdateLoop()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        lock.unlock();
        std::vector<std::string> learned;
        {
            const std::lock_guard sendersLock(m_sendersMutex);
            learned = m_learnedGateways;
        }
        updateGateways(learned);
        m_table.removeExpired(Process::now());
        lock.lock();
        m_wake.wait_for(lock, m_settings.reportInterval, [this] { return m_stopping; });
    }
}

// The gateways of the settings are always included, since all learned ones may have been replaced.
void AgentReporter::updateGateways(const std::vector<std::string> &addresses)
{
    std::set<std::string> wanted(m_settings.gateways.begin(), m_settings.gateways.end());
    for (const std::string &it : addresses) {
        if (wanted.size() < maxGateways)
            wanted.insert(it);
    }
    std::vector<std::shared_ptr<GatewayReportSender>> removed;
    const std::lock_guard lock(m_sendersMutex);
    for (auto it = m_senders.begin(); it != m_senders.end();) {
        if (wanted.contains(it->first)) {
            ++it;
            continue;
        }
        it->second->requestStop();
        removed.push_back(it->second);
        it = m_senders.erase(it);
    }
    for (const std::string &it : wanted) {
        if (m_senders.contains(it))
            continue;
        const GatewayReportSender::Hooks hooks{
            [this] { return makeReport(); },
            [this](const wire::ReportReply &reply, Instant sentAt) { onReply(reply, sentAt); }};
        // A gateway may state an address that is none.
        try {
            m_senders.emplace(it,
                              std::make_shared<GatewayReportSender>(
                                  it, m_settings.fleetSecret, m_settings.reportInterval, hooks));
        } catch (const Error &e) {
            LOG_EVERY_N(WARNING, 100) << "event=bad_gateway_address reason=\"" << e.what() << '"';
            Metrics::incrementCounter("bad_gateway_addresses_total");
        }
    }
}

std::vector<std::shared_ptr<GatewayReportSender>> AgentReporter::senders() const
{
    const std::lock_guard lock(m_sendersMutex);
    std::vector<std::shared_ptr<GatewayReportSender>> found;
    for (const auto &[address, sender] : m_senders)
        found.push_back(sender);
    return found;
}

bool AgentReporter::isAnyGatewayReachable() const
{
    const auto all = senders();
    return std::any_of(all.begin(), all.end(), [](const auto &it) { return it->isReachable(); });
}

void AgentReporter::reportAndWait(std::chrono::milliseconds limit)
{
    const Instant end = Process::now() + limit;
    const auto all = senders();
    std::vector<std::int64_t> numbers;
    for (const auto &it : all)
        numbers.push_back(it->requestReport());
    for (std::size_t i = 0; i < all.size(); ++i)
        all[i]->waitForReport(numbers[i], end);
}

wire::AgentReport AgentReporter::makeReport()
{
    const std::lock_guard lock(m_mutex);
    wire::AgentReport report;
    report.instance = m_settings.instance.text();
    report.incarnation = m_incarnation;
    report.sequence = ++m_sequence;
    report.zone = m_settings.zone.text();
    report.address = m_advertisedAddress;
    report.backendKind = m_settings.isEngine ? "engine" : "service";
    report.serverName = m_settings.server.text();
    if (m_engine) {
        const auto loads = m_table.inFlightCounts();
        for (const HostedModel &it : m_engine->reportedModels()) {
            report.models.push_back(stateFrom(it));
            const auto load = loads.find(it.name);
            report.models.back().load = load == loads.end() ? 0 : load->second;
        }
        report.memoryPledgedMb = m_engine->worstCaseMemory().count();
    }
    report.fencingEpoch = m_fencingEpoch;
    report.queued = static_cast<std::int64_t>(m_table.queuedCount());
    report.running = static_cast<std::int64_t>(m_table.runningCount());
    report.draining = m_table.isDraining();
    report.memoryTotalMb = m_settings.acceleratorMemory.count();
    report.capacity = m_settings.concurrency;
    report.planVersion = m_planVersion;
    report.clock = ProcessTimeline::nextTimestamp();
    report.suspicions = m_table.suspicions();
    report.backendDown = m_table.isBackendDown();
    return report;
}

void AgentReporter::onReply(const wire::ReportReply &reply, Instant sentAt)
{
    if (m_settings.learnsGateways && !reply.gateways.empty()) {
        const std::lock_guard lock(m_sendersMutex);
        m_learnedGateways = reply.gateways;
    }
    if (!m_engine)
        return;
    applyFencing(reply, sentAt);
    applyPlan(reply);
}

void AgentReporter::applyPlan(const wire::ReportReply &reply)
{
    // Several gateways may reply at once: the lock is held until the plan is set, so that an older
    // plan can't overwrite a newer one.
    const std::lock_guard lock(m_mutex);
    if (reply.planVersion <= m_planVersion)
        return;
    m_planVersion = reply.planVersion;
    ProcessTimeline::record(TimelineEventKind::PlanTaken, {},
                            "version=" + std::to_string(m_planVersion));
    LOG(INFO) << "event=plan_taken version=" << m_planVersion << " models=" << reply.wanted.size();
    m_engine->setPlan(hostedModelsFrom(reply.wanted));
}

// The gateway's fencing epoch was valid when the gateway read the table, so the grant's validity is
// counted from that read.
void AgentReporter::applyFencing(const wire::ReportReply &reply, Instant sentAt)
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
            m_engine->onSuperseded();
            return;
        }
    }
    const Instant validUntil = sentAt - std::chrono::milliseconds(reply.fencingAgeMillis)
        + m_settings.fencingGrantValidity;
    m_engine->applyFencingGrant({reply.fencingEpoch, reply.fencingChecked, validUntil});
}

} // namespace quetzalyoke
