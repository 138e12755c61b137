#include "Apps/Agent/Dispatcher.h"

#include "Adapters/Metrics.h"
#include "Adapters/Process.h"
#include "Apps/Agent/BackendClient.h"

#include <glog/logging.h>

namespace quetzalyoke {

namespace {

constexpr std::chrono::milliseconds idleWait{200};

} // namespace

Dispatcher::Dispatcher(const AgentSettings &settings, AttemptTable &table,
                       std::function<void()> onCrash)
    : m_settings(settings), m_table(table), m_onCrash(std::move(onCrash))
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
    bool crashed = false;
    BackendClient client(m_settings.backend, m_settings.backendTimeout, [this, &crashed] {
        crashed = true;
        return m_table.noteCrash(Process::now());
    });
    while (!m_stopping) {
        const auto attempt = m_table.takeNext(idleWait);
        if (!attempt)
            continue;
        run(client, *attempt);
        m_table.release(attempt, Process::now());
        Metrics::count("attempts_total");
        if (crashed) {
            LOG(WARNING) << "event=backend_crashed request=" << attempt->submission().requestId;
            m_onCrash();
        }
        crashed = false;
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
    if (!attempt.start()) {
        attempt.fail(now, wire::ErrorCode::Cancelled, "the caller went away", {});
        return;
    }
    client.run(attempt);
}

} // namespace quetzalyoke
