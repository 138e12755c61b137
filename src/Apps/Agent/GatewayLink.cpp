#include "Apps/Agent/GatewayLink.h"

#include "Adapters/EventLog.h"
#include "Adapters/Metrics.h"
#include "Adapters/Process.h"

#include <glog/logging.h>

#include <algorithm>

namespace quetzalyoke {

namespace {

constexpr std::chrono::milliseconds connectTimeout{500};
constexpr std::chrono::milliseconds callTimeout{2000};

} // namespace

GatewayLink::GatewayLink(const std::string &address, const std::string &secret,
                         std::chrono::milliseconds interval, Hooks hooks)
    : m_pool(Address::parse(address), secret, connectTimeout, callTimeout), m_interval(interval),
      m_hooks(std::move(hooks))
{
    m_thread = std::thread([this] { work(); });
}

GatewayLink::~GatewayLink()
{
    beginStop();
    m_thread.join();
}

void GatewayLink::beginStop()
{
    const std::lock_guard lock(m_mutex);
    m_stopping = true;
    m_changed.notify_all();
}

std::int64_t GatewayLink::requestReport()
{
    const std::lock_guard lock(m_mutex);
    ++m_requested;
    m_changed.notify_all();
    return m_requested;
}

void GatewayLink::waitFor(std::int64_t number, Instant end)
{
    std::unique_lock lock(m_mutex);
    m_changed.wait_until(lock, end, [this, number] { return m_stopping || m_served >= number; });
}

void GatewayLink::work()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        const std::int64_t number = m_requested;
        lock.unlock();
        const bool reached = report();
        if (m_reached.exchange(reached) != reached) {
            const std::string address = m_pool.address().text();
            EventLog::record(reached ? EventKind::PeerReached : EventKind::PeerLost, {}, address);
            LOG(INFO) << "event=" << (reached ? "gateway_reached" : "gateway_lost")
                      << " address=" << address;
        }
        lock.lock();
        m_served = std::max(m_served, number);
        m_changed.notify_all();
        m_changed.wait_for(lock, m_interval,
                           [this] { return m_stopping || m_requested > m_served; });
    }
}

bool GatewayLink::report()
{
    try {
        const wire::AgentReport report = m_hooks.makeReport();
        wire::ReportReply reply;
        const Instant calledAt = Process::now();
        m_pool.call([&](wire::GatewayClient &it) { it.report(reply, report); });
        EventLog::observe(reply.clock);
        m_hooks.takeReply(reply, calledAt);
        return true;
    } catch (const std::exception &) {
        m_pool.clear();
        Metrics::count("reports_failed_total", {{"gateway", m_pool.address().text()}});
        return false;
    }
}

} // namespace quetzalyoke
