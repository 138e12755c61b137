#include "Apps/Agent/Dispatcher.h"

#include "Adapters/Metrics.h"
#include "Adapters/Process.h"
#include "Apps/Agent/BackendClient.h"

#include <glog/logging.h>

namespace quetzalyoke {

namespace {

constexpr std::chrono::milliseconds idleWait{200};
constexpr std::chrono::milliseconds retryWhenDown{200};

} // namespace

Dispatcher::Dispatcher(const AgentSettings &settings, AttemptTable &table, BackendHealth &health,
                       std::function<void()> onCrash)
    : m_settings(settings), m_table(table), m_health(health), m_onCrash(std::move(onCrash))
{
    for (int i = 0; i < settings.concurrency; ++i)
        m_workers.emplace_back([this] { work(); });
}

Dispatcher::~Dispatcher()
{
    stop();
}

void Dispatcher::stop()
{
    m_stopping = true;
    for (std::thread &it : m_workers) {
        if (it.joinable())
            it.join();
    }
}

void Dispatcher::work()
{
    const auto noteCrash = [this] {
        const std::string incident = m_table.noteCrash(Process::now());
        LOG(WARNING) << "event=backend_crashed incident=" << incident;
        m_onCrash();
        return incident;
    };
    BackendClient client(m_settings.backend, m_settings.backendTimeout, m_health, noteCrash);
    while (!m_stopping) {
        const auto attempt = m_table.takeNext(idleWait);
        if (!attempt)
            continue;
        run(client, *attempt);
        m_table.release(attempt, Process::now());
        Metrics::count("attempts_total");
    }
}

void Dispatcher::run(BackendClient &client, Attempt &attempt)
{
    const Instant now = Process::now();
    if (now >= attempt.deadline()) {
        attempt.fail(now, wire::ErrorCode::DeadlinePassed,
                     "the deadline passed while the request waited", {});
        return;
    }
    if (m_health.isDown()) {
        attempt.turnAway(now, "the backend server is down", retryWhenDown);
        return;
    }
    if (!attempt.start()) {
        attempt.fail(now, wire::ErrorCode::Cancelled, "the caller went away", {});
        return;
    }
    client.run(attempt);
}

} // namespace quetzalyoke
