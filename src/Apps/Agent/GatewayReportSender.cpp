#include "Apps/Agent/GatewayReportSender.h"

#include "Adapters/Metrics.h"
#include "Adapters/Process.h"
#include "Adapters/ProcessTimeline.h"

#include <glog/logging.h>

#include <algorithm>

namespace quetzalyoke {

namespace {

constexpr std::chrono::milliseconds connectTimeout{500};
constexpr std::chrono::milliseconds callTimeout{2000};

} // namespace

GatewayReportSender::GatewayReportSender(const std::string &address, const std::string &secret,
                                         std::chrono::milliseconds interval, Hooks hooks)
    : m_pool(Address::parse(address), secret, connectTimeout, callTimeout), m_interval(interval),
      m_hooks(std::move(hooks))
{
    m_thread = std::thread([this] { runReportLoop(); });
}

GatewayReportSender::~GatewayReportSender()
{
    requestStop();
    m_thread.join();
}

void GatewayReportSender::requestStop()
{
    const std::lock_guard lock(m_mutex);
    m_stopping = true;
    m_changed.notify_all();
}

std::int64_t GatewayReportSender::requestReport()
{
    const std::lock_guard lock(m_mutex);
    ++m_lastRequested;
    m_changed.notify_all();
    return m_lastRequested;
}

void GatewayReportSender::waitForReport(std::int64_t number, Instant end)
{
    std::unique_lock lock(m_mutex);
    m_changed.wait_until(lock, end,
                         [this, number] { return m_stopping || m_lastProcessed >= number; });
}

void GatewayReportSender::runReportLoop()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        const std::int64_t number = m_lastRequested;
        lock.unlock();
        const bool succeeded = sendReport();
        if (m_reachable.exchange(succeeded) != succeeded) {
            const std::string address = m_pool.address().text();
            ProcessTimeline::record(succeeded ? TimelineEventKind::PeerReached
                                              : TimelineEventKind::PeerLost,
                                    {}, address);
            LOG(INFO) << "event=" << (succeeded ? "gateway_reached" : "gateway_lost")
                      << " address=" << address;
        }
        lock.lock();
        m_lastProcessed = std::max(m_lastProcessed, number);
        m_changed.notify_all();
        m_changed.wait_for(lock, m_interval,
                           [this] { return m_stopping || m_lastRequested > m_lastProcessed; });
    }
}

bool GatewayReportSender::sendReport()
{
    try {
        const wire::AgentReport report = m_hooks.makeReport();
        wire::ReportReply reply;
        const Instant sentAt = Process::now();
        m_pool.call([&](wire::GatewayClient &it) { it.report(reply, report); });
        ProcessTimeline::mergeTimestamp(reply.clock);
        m_hooks.onReply(reply, sentAt);
        return true;
    } catch (const std::exception &) {
        m_pool.closeIdleConnections();
        Metrics::incrementCounter("reports_failed_total", {{"gateway", m_pool.address().text()}});
        return false;
    }
}

} // namespace quetzalyoke
