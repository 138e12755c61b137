#ifndef QUETZALYOKE_APPS_GATEWAY_STATESYNC_H
#define QUETZALYOKE_APPS_GATEWAY_STATESYNC_H

#include "Adapters/HttpPlatform.h"
#include "Apps/Gateway/GatewaySettings.h"
#include "Apps/Gateway/SharedState.h"

#include <atomic>
#include <thread>

namespace quetzalyoke {

/// \brief Keeps SharedState up to date with the platform's table.
class StateSync
{
public:
    StateSync(const GatewaySettings &settings, HttpPlatform &platform, SharedState &state);
    ~StateSync();

    /// Reads what has changed since the last read. Throws Error.
    void refresh();
    void stop();

private:
    void work();
    void loadConfiguration();

    const GatewaySettings &m_settings;
    HttpPlatform &m_platform;
    SharedState &m_state;
    std::mutex m_refreshMutex; // one refresh at a time; taken before SharedState's lock
    Version m_readVersion;
    std::atomic<bool> m_stopping{false};
    std::thread m_thread;
};

} // namespace quetzalyoke

#endif
