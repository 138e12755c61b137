#ifndef QUETZALYOKE_APPS_GATEWAY_TIMELINECOLLECTOR_H
#define QUETZALYOKE_APPS_GATEWAY_TIMELINECOLLECTOR_H

#include "Apps/Gateway/AgentRegistry.h"
#include "Apps/Gateway/GatewaySettings.h"
#include "Core/Requests/Timeline.h"

#include <functional>
#include <string>
#include <vector>

namespace quetzalyoke {

/// \brief Collects the timelines of this gateway, the other gateways and the agents known to it.
class TimelineCollector
{
public:
    /// \brief A process whose events could not be collected.
    struct MissingProcess
    {
        std::string address;
        std::string reason;
    };

    struct Collection
    {
        std::vector<TimelineEvent> events; ///< In causal order.
        std::vector<MissingProcess> missing;
    };

    /// \a peers returns the Thrift addresses of the other gateways.
    TimelineCollector(const GatewaySettings &settings, const AgentRegistry &agentRegistry,
                      std::function<std::vector<std::string>()> peers);

    /// Returns the events of \a request, or all events if it is empty, at most \a limit of each
    /// process. Returns within a bounded time; processes that have not responded by then are
    /// listed as missing.
    Collection collect(const RequestId &request, std::size_t limit) const;

private:
    std::vector<std::string> addresses() const;

    const GatewaySettings &m_settings;
    const AgentRegistry &m_agentRegistry;
    std::function<std::vector<std::string>()> m_peers;
};

} // namespace quetzalyoke

#endif
