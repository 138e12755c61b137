#include "Apps/Agent/EngineController.h"

#include "Adapters/Metrics.h"
#include "Adapters/Process.h"
#include "Adapters/ProcessTimeline.h"
#include "Core/Error.h"

#include <glog/logging.h>

namespace quetzalyoke {

namespace {

constexpr std::chrono::milliseconds readTimeout{2000};

EngineReconciler::Limits limitsFrom(const AgentSettings &settings)
{
    return {settings.acceleratorMemory, settings.orderTimeout, settings.predecessorWait,
            settings.maxReportStaleness};
}

const char *nameOf(EngineOrder::Kind kind)
{
    return kind == EngineOrder::Kind::Load ? "load" : "unload";
}

} // namespace

EngineController::EngineController(const AgentSettings &settings, AttemptTable &table)
    : m_settings(settings), m_table(table), m_reportClient(settings.backend, readTimeout),
      m_orderClient(settings.backend, settings.orderResponseTimeout),
      m_reconciler(limitsFrom(settings))
{
    m_table.setAvailableTargets({});
    m_threads.emplace_back([this] { runPollLoop(); });
    m_threads.emplace_back([this] { runOrderLoop(); });
}

EngineController::~EngineController()
{
    stop();
}

void EngineController::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
        m_changed.notify_all();
    }
    for (std::thread &it : m_threads) {
        if (it.joinable())
            it.join();
    }
}

void EngineController::setPlan(std::vector<HostedModel> wanted)
{
    const std::lock_guard lock(m_mutex);
    m_reconciler.setPlan(std::move(wanted));
    updateLocked(Process::now());
}

void EngineController::applyFencingGrant(const FencingGrant &grant)
{
    const std::lock_guard lock(m_mutex);
    m_reconciler.applyFencingGrant(grant, Process::now());
    updateLocked(Process::now());
}

void EngineController::onSuperseded()
{
    const std::lock_guard lock(m_mutex);
    if (m_reconciler.isSuperseded())
        return;
    m_reconciler.onSuperseded();
    m_table.startDraining();
    LOG(WARNING)
        << "event=superseded remedy=\"stop this agent; another agent controls the engine\"";
}

void EngineController::runPollLoop()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        lock.unlock();
        const Instant readAt = Process::now();
        try {
            applyReport(m_reportClient.readReport(), readAt);
        } catch (const std::exception &e) {
            Metrics::incrementCounter("engine_reads_failed_total");
            LOG_EVERY_N(WARNING, 100) << "event=engine_unread reason=\"" << e.what() << '"';
        }
        lock.lock();
        m_changed.wait_for(lock, m_settings.enginePollInterval, [this] { return m_stopping; });
    }
}

void EngineController::applyReport(const EngineReport &report, Instant readAt)
{
    const std::lock_guard lock(m_mutex);
    m_reconciler.applyReport(report, readAt, Process::now());
    updateLocked(Process::now());
    Metrics::setGauge("engine_memory_worst_case_mb",
                      static_cast<double>(m_reconciler.worstCaseMemory().count()));
}

// The available targets are set before the order is chosen, so that every request is either counted
// as in flight or refused.
void EngineController::updateLocked(Instant now)
{
    m_table.setAvailableTargets(m_reconciler.availableTargets());
    if (m_pendingOrder || m_stopping)
        return;
    m_pendingOrder = m_reconciler.nextOrder(
        now, [this](const std::string &name) { return m_table.inFlightCount(name); });
    if (m_pendingOrder)
        m_changed.notify_all();
}

void EngineController::runOrderLoop()
{
    std::unique_lock lock(m_mutex);
    while (true) {
        m_changed.wait(lock, [this] { return m_stopping || m_pendingOrder; });
        if (m_stopping)
            return;
        // The fencing grant may have expired since the order was chosen.
        if (m_reconciler.mayIssueOrders(Process::now())) {
            const EngineOrder order = *m_pendingOrder;
            lock.unlock();
            sendOrder(order);
            lock.lock();
        } else {
            m_reconciler.onOrderEnded(false, Process::now());
        }
        m_pendingOrder.reset();
    }
}

void EngineController::sendOrder(const EngineOrder &order)
{
    const bool isLoad = order.kind == EngineOrder::Kind::Load;
    ProcessTimeline::record(isLoad ? TimelineEventKind::LoadOrdered
                                   : TimelineEventKind::UnloadOrdered,
                            {}, "name=" + order.model.name);
    bool hasResponse = false;
    try {
        m_orderClient.sendOrder(order);
        hasResponse = true;
        Metrics::incrementCounter("engine_orders_total", {{"order", nameOf(order.kind)}});
    } catch (const Error &e) {
        // A refusal is also a response: the order won't take effect any more.
        hasResponse = e.kind() == ErrorKind::Conflict;
        Metrics::incrementCounter("engine_orders_failed_total", {{"order", nameOf(order.kind)}});
        ProcessTimeline::record(TimelineEventKind::OrderFailed, {}, "name=" + order.model.name);
        LOG_EVERY_N(WARNING, 100) << "event=order_failed reason=\"" << e.what() << '"';
    }
    const std::lock_guard lock(m_mutex);
    m_reconciler.onOrderEnded(hasResponse, Process::now());
}

std::vector<HostedModel> EngineController::reportedModels() const
{
    const std::lock_guard lock(m_mutex);
    const std::set<std::string> available = m_reconciler.availableTargets();
    std::vector<HostedModel> models = m_reconciler.reportedModels();
    for (HostedModel &it : models)
        it.isReady = available.contains(it.name);
    return models;
}

Megabytes EngineController::worstCaseMemory() const
{
    const std::lock_guard lock(m_mutex);
    return m_reconciler.worstCaseMemory();
}

} // namespace quetzalyoke
