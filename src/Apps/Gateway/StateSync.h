#ifndef QUETZALYOKE_APPS_GATEWAY_STATESYNC_H
#define QUETZALYOKE_APPS_GATEWAY_STATESYNC_H

#include "Adapters/HttpPlatform.h"
#include "Apps/Gateway/GatewaySettings.h"
#include "Apps/Gateway/SharedState.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

namespace quetzalyoke {

/// \brief Keeps SharedState up to date with the platform's table.
class StateSync
{
public:
    /// Gets the service list at a version from another gateway.
    using TextSource = std::function<std::optional<std::string>(Version)>;

    StateSync(const GatewaySettings &settings, HttpPlatform &platform, SharedState &state,
              TextSource fromPeers);
    ~StateSync();

    /// Reads what has changed since the last read. Throws Error.
    void refresh();
    /// Has the table read at once instead of after the interval.
    void wake();
    void stop();

private:
    void work();
    bool readTable();
    void loadConfiguration();
    std::optional<std::string> textOf(const ConfigurationPointer &pointer, Version version);

    const GatewaySettings &m_settings;
    HttpPlatform &m_platform;
    SharedState &m_state;
    TextSource m_fromPeers;
    std::mutex m_refreshMutex; // one refresh at a time; taken before SharedState's lock
    std::mutex m_mutex; // of the two below
    std::condition_variable m_changed;
    bool m_wanted = false;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace quetzalyoke

#endif
