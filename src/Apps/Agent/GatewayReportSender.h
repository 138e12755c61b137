#ifndef QUETZALYOKE_APPS_AGENT_GATEWAYREPORTSENDER_H
#define QUETZALYOKE_APPS_AGENT_GATEWAYREPORTSENDER_H

#include "Adapters/ThriftClientPool.h"
#include "Core/StrongTypes.h"
#include "Wire/generated/Gateway.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <thread>

namespace quetzalyoke {

/// \brief Sends reports to one gateway on its own thread, so that an unresponsive gateway does not
/// delay reports to the others.
class GatewayReportSender
{
public:
    struct Hooks
    {
        std::function<wire::AgentReport()> makeReport;
        /// Handles the reply to a report that was sent at the given time.
        std::function<void(const wire::ReportReply &, Instant)> onReply;
    };

    GatewayReportSender(const std::string &address, const std::string &secret,
                        std::chrono::milliseconds interval, Hooks hooks);
    ~GatewayReportSender();
    GatewayReportSender(const GatewayReportSender &) = delete;
    GatewayReportSender &operator=(const GatewayReportSender &) = delete;

    /// Requests a report of the state from now on, and returns its number for waitForReport().
    std::int64_t requestReport();
    /// Waits until the report with \a number was sent or failed, or until \a end.
    void waitForReport(std::int64_t number, Instant end);
    /// Returns whether the last report succeeded.
    bool isReachable() const { return m_reachable; }
    /// Tells the thread to end; the destructor joins it.
    void requestStop();

private:
    void runReportLoop();
    bool sendReport();

    ThriftClientPool<wire::GatewayClient> m_pool;
    const std::chrono::milliseconds m_interval;
    const Hooks m_hooks;
    std::atomic<bool> m_reachable{false};
    std::mutex m_mutex; // guards the members below
    std::condition_variable m_changed;
    std::int64_t m_lastRequested = 0;
    std::int64_t m_lastProcessed = 0;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace quetzalyoke

#endif
