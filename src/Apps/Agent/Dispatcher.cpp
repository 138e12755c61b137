#include "Apps/Agent/Dispatcher.h"

#include "Adapters/Metrics.h"
#include "Adapters/Process.h"
#include "Apps/Agent/BackendClient.h"

namespace quetzalyoke {

namespace {

constexpr std::chrono::milliseconds idleWait{200};

} // namespace

Dispatcher::Dispatcher(const AgentSettings &settings, AttemptTable &table)
    : m_settings(settings), m_table(table)
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
    BackendClient client(m_settings.backend, m_settings.backendTimeout);
    while (!m_stopping) {
        const auto attempt = m_table.takeNext(idleWait);
        if (!attempt)
            continue;
        const Instant now = Process::now();
        if (now >= attempt->deadline()) {
            attempt->fail(now, wire::ErrorCode::DeadlinePassed,
                          "the deadline passed while the request waited", {});
        } else if (attempt->start()) {
            client.run(*attempt);
        } else {
            attempt->fail(now, wire::ErrorCode::Cancelled, "the caller went away", {});
        }
        m_table.release();
        Metrics::count("attempts_total");
    }
}

} // namespace quetzalyoke
