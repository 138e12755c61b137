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

/// \brief Reports to one gateway, on a thread of its own, so that a gateway that does not answer
/// delays no report to the others.
class GatewayReportSender
{
public:
    struct Hooks
    {
        std::function<wire::AgentReport()> makeReport;
        /// Takes a reply to a report that was sent at the given time.
        std::function<void(const wire::ReportReply &, Instant)> onReply;
    };

    GatewayReportSender(const std::string &address, const std::string &secret,
                        std::chrono::milliseconds interval, Hooks hooks);
    ~GatewayReportSender();
    GatewayReportSender(const GatewayReportSender &) = delete;
    GatewayReportSender &operator=(const GatewayReportSender &) = delete;

    /// Asks for a report that is made from now on; its number is for waitFor().
    std::int64_t requestReport();
    /// Waits until the report with \a number was sent or failed, or until \a end.
    void waitForReport(std::int64_t number, Instant end);
    /// Whether the last report was taken.
    bool isReachable() const { return m_reachable; }
    /// Asks the thread to end; the destructor waits for it.
    void requestStop();

private:
    void runReportLoop();
    bool sendReport();

    ThriftClientPool<wire::GatewayClient> m_pool;
    const std::chrono::milliseconds m_interval;
    const Hooks m_hooks;
    std::atomic<bool> m_reachable{false};
    std::mutex m_mutex; // of the members below
    std::condition_variable m_changed;
    std::int64_t m_lastRequested = 0;
    std::int64_t m_lastProcessed = 0;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace quetzalyoke

#endif
