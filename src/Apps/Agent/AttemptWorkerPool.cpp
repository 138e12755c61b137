#include "Apps/Agent/AttemptWorkerPool.h"

#include "Adapters/Metrics.h"
#include "Adapters/Process.h"
#include "Apps/Agent/BackendClient.h"

#include <glog/logging.h>

namespace quetzalyoke {

namespace {

constexpr std::chrono::milliseconds dequeueTimeout{200};
constexpr std::chrono::milliseconds retryAfterDown{200};

} // namespace

AttemptWorkerPool::AttemptWorkerPool(const AgentSettings &settings, AttemptTable &table,
                                     BackendHealth &health, std::function<void()> onCrash)
    : m_settings(settings), m_table(table), m_health(health), m_onCrash(std::move(onCrash))
{
    for (int i = 0; i < settings.concurrency; ++i)
        m_workers.emplace_back([this] { runWorkerLoop(); });
}

AttemptWorkerPool::~AttemptWorkerPool()
{
    stop();
}

void AttemptWorkerPool::stop()
{
    m_stopping = true;
    for (std::thread &it : m_workers) {
        if (it.joinable())
            it.join();
    }
}

void AttemptWorkerPool::runWorkerLoop()
{
    const auto handleCrash = [this] {
        const std::string incident = m_table.recordCrash(Process::now());
        LOG(WARNING) << "event=backend_crashed incident=" << incident;
        m_onCrash();
        return incident;
    };
    BackendClient client(m_settings.backend, m_settings.backendTimeout, m_health, handleCrash);
    while (!m_stopping) {
        const auto attempt = m_table.dequeue(dequeueTimeout);
        if (!attempt)
            continue;
        // An exception costs the attempt; the request may have run.
        try {
            runAttempt(client, *attempt);
        } catch (const std::exception &e) {
            LOG(WARNING) << "event=attempt_exception reason=\"" << e.what() << '"';
            Metrics::incrementCounter("attempt_exceptions_total");
            attempt->fail(Process::now(), wire::ErrorCode::BackendFailed,
                          "the attempt ended by an exception", {});
        }
        m_table.onAttemptEnded(attempt, Process::now());
        Metrics::incrementCounter("attempts_total");
    }
}

void AttemptWorkerPool::runAttempt(BackendClient &client, Attempt &attempt)
{
    const Instant now = Process::now();
    if (now >= attempt.deadline()) {
        attempt.fail(now, wire::ErrorCode::DeadlinePassed,
                     "the deadline passed while the request was queued", {});
        return;
    }
    if (m_health.isDown()) {
        attempt.failAsNotRun(now, "the backend server is down", retryAfterDown);
        return;
    }
    if (!attempt.tryStart()) {
        attempt.fail(now, wire::ErrorCode::Cancelled, "the caller disconnected", {});
        return;
    }
    client.run(attempt);
}

} // namespace quetzalyoke
