#ifndef QUETZALYOKE_APPS_GATEWAY_STATEPOLLER_H
#define QUETZALYOKE_APPS_GATEWAY_STATEPOLLER_H

#include "Adapters/HttpPlatformClient.h"
#include "Apps/Gateway/GatewaySettings.h"
#include "Apps/Gateway/GatewayState.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

namespace quetzalyoke {

/// \brief Keeps GatewayState up to date with the platform's table.
class StatePoller
{
public:
    /// Fetches the text of the service list at a version from another gateway.
    using ConfigurationTextSource = std::function<std::optional<std::string>(Version)>;

    StatePoller(const GatewaySettings &settings, HttpPlatformClient &platform, GatewayState &state,
                ConfigurationTextSource fromPeers);
    ~StatePoller();

    /// Reads the rows that have changed since the last read. Throws Error.
    void refresh();
    /// Makes the poller read the table at once instead of after the interval.
    void pollNow();
    void stop();

private:
    void pollLoop();
    bool readTable();
    void loadConfiguration();
    std::optional<std::string> fetchConfigurationText(const ConfigurationRow &pointer,
                                                      Version version);

    const GatewaySettings &m_settings;
    HttpPlatformClient &m_platform;
    GatewayState &m_state;
    ConfigurationTextSource m_textFromPeers;
    std::mutex m_refreshMutex; // one refresh at a time; taken before GatewayState's lock
    std::mutex m_mutex; // protects m_isPollRequested and m_stopping
    std::condition_variable m_changed;
    bool m_isPollRequested = false;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace quetzalyoke

#endif
