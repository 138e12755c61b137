#include "Apps/Agent/EngineRunner.h"

#include "Adapters/EventLog.h"
#include "Adapters/Metrics.h"
#include "Adapters/Process.h"
#include "Core/Error.h"

#include <glog/logging.h>

namespace quetzalyoke {

namespace {

constexpr std::chrono::milliseconds readTimeout{2000};

EngineKeeper::Limits limitsFrom(const AgentSettings &settings)
{
    return {settings.memory, settings.orderTimeout, settings.predecessorWait, settings.reportLag};
}

const char *nameOf(EngineOrder::Kind kind)
{
    return kind == EngineOrder::Kind::Load ? "load" : "unload";
}

} // namespace

EngineRunner::EngineRunner(const AgentSettings &settings, AttemptTable &table)
    : m_settings(settings), m_table(table), m_reads(settings.backend, readTimeout),
      m_orders(settings.backend, settings.orderAnswer), m_keeper(limitsFrom(settings))
{
    m_table.offer({});
    m_threads.emplace_back([this] { readEngine(); });
    m_threads.emplace_back([this] { sendOrders(); });
}

EngineRunner::~EngineRunner()
{
    stop();
}

void EngineRunner::stop()
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

void EngineRunner::setPlan(std::vector<Holding> wanted)
{
    const std::lock_guard lock(m_mutex);
    m_keeper.setPlan(std::move(wanted));
    decideLocked(Process::now());
}

void EngineRunner::grant(const FencingGrant &grant)
{
    const std::lock_guard lock(m_mutex);
    m_keeper.grant(grant, Process::now());
    decideLocked(Process::now());
}

void EngineRunner::supersede()
{
    const std::lock_guard lock(m_mutex);
    if (m_keeper.isSuperseded())
        return;
    m_keeper.supersede();
    m_table.drain();
    LOG(WARNING) << "event=superseded remedy=\"stop this agent; another keeps the engine\"";
}

void EngineRunner::readEngine()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        lock.unlock();
        const Instant readFrom = Process::now();
        try {
            takeReport(m_reads.report(), readFrom);
        } catch (const std::exception &e) {
            Metrics::count("engine_reads_failed_total");
            LOG_EVERY_N(WARNING, 100) << "event=engine_unread reason=\"" << e.what() << '"';
        }
        lock.lock();
        m_changed.wait_for(lock, m_settings.engineInterval, [this] { return m_stopping; });
    }
}

void EngineRunner::takeReport(const EngineReport &report, Instant readFrom)
{
    const std::lock_guard lock(m_mutex);
    m_keeper.takeReport(report, readFrom, Process::now());
    decideLocked(Process::now());
    Metrics::gauge("engine_memory_worst_case_mb",
                   static_cast<double>(m_keeper.worstCase().count()));
}

// The offer is in force before the order is decided: a request is either counted or refused.
void EngineRunner::decideLocked(Instant now)
{
    m_table.offer(m_keeper.offered());
    if (m_next || m_stopping)
        return;
    m_next = m_keeper.nextOrder(now,
                                [this](const std::string &name) { return m_table.inFlight(name); });
    if (m_next)
        m_changed.notify_all();
}

void EngineRunner::sendOrders()
{
    std::unique_lock lock(m_mutex);
    while (true) {
        m_changed.wait(lock, [this] { return m_stopping || m_next; });
        if (m_stopping)
            return;
        // The right to order may have ended since the decision.
        if (m_keeper.mayOrder(Process::now())) {
            const EngineOrder order = *m_next;
            lock.unlock();
            send(order);
            lock.lock();
        } else {
            m_keeper.orderEnded(false, Process::now());
        }
        m_next.reset();
    }
}

void EngineRunner::send(const EngineOrder &order)
{
    const bool load = order.kind == EngineOrder::Kind::Load;
    EventLog::record(load ? EventKind::LoadOrdered : EventKind::UnloadOrdered, {},
                     "name=" + order.holding.name);
    bool answered = false;
    try {
        m_orders.send(order);
        answered = true;
        Metrics::count("engine_orders_total", {{"order", nameOf(order.kind)}});
    } catch (const Error &e) {
        // A refusal is an answer: the order will not take effect any more.
        answered = e.kind() == ErrorKind::Conflict;
        Metrics::count("engine_orders_failed_total", {{"order", nameOf(order.kind)}});
        EventLog::record(EventKind::OrderFailed, {}, "name=" + order.holding.name);
        LOG_EVERY_N(WARNING, 100) << "event=order_failed reason=\"" << e.what() << '"';
    }
    const std::lock_guard lock(m_mutex);
    m_keeper.orderEnded(answered, Process::now());
}

std::vector<Holding> EngineRunner::held() const
{
    const std::lock_guard lock(m_mutex);
    const std::set<std::string> offered = m_keeper.offered();
    std::vector<Holding> holdings = m_keeper.held();
    for (Holding &it : holdings)
        it.ready = offered.contains(it.name);
    return holdings;
}

Megabytes EngineRunner::worstCase() const
{
    const std::lock_guard lock(m_mutex);
    return m_keeper.worstCase();
}

} // namespace quetzalyoke
