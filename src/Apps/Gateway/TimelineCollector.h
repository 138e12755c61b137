#ifndef QUETZALYOKE_APPS_GATEWAY_TIMELINECOLLECTOR_H
#define QUETZALYOKE_APPS_GATEWAY_TIMELINECOLLECTOR_H

#include "Apps/Gateway/AgentRegistry.h"
#include "Apps/Gateway/GatewaySettings.h"
#include "Core/Requests/Timeline.h"

#include <functional>
#include <string>
#include <vector>

namespace quetzalyoke {

/// \brief Collects the time lines of this gateway, of other gateways and of the agents it knows.
class TimelineCollector
{
public:
    /// A process whose events are missing.
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

    /// \a peers gives the Thrift addresses of the other gateways.
    TimelineCollector(const GatewaySettings &settings, const AgentRegistry &fleet,
                      std::function<std::vector<std::string>()> peers);

    /// Events of \a request, or all if it is empty: at most \a limit of each process. Returns
    /// within a bounded time; whoever has not answered by then is missing.
    Collection collect(const RequestId &request, std::size_t limit) const;

private:
    std::vector<std::string> addresses() const;

    const GatewaySettings &m_settings;
    const AgentRegistry &m_agentRegistry;
    std::function<std::vector<std::string>()> m_peers;
};

} // namespace quetzalyoke

#endif
