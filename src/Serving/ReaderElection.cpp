#include "Serving/ReaderElection.h"

namespace quetzalyoke {

ReaderElection::ReaderElection(const Settings &settings, InstanceId self, ZoneName zone)
    : m_settings(settings), m_self(std::move(self)), m_zone(std::move(zone))
{ }

std::optional<InstanceId> ReaderElection::reader(const std::vector<ReaderCandidate> &peers,
                                                 Instant now) const
{
    std::size_t gateways = 1;
    const ReaderCandidate *first = nullptr;
    for (const ReaderCandidate &peer : peers) {
        if (peer.zone != m_zone || !peer.isAlive)
            continue;
        ++gateways;
        if (!first || peer.instance < first->instance)
            first = &peer;
    }
    if (gateways <= m_settings.smallZone || m_self < first->instance || !first->followsStore)
        return {};
    const auto failure = m_failedAt.find(first->instance);
    if (failure != m_failedAt.end() && now - failure->second < m_settings.distrust)
        return {};
    return first->instance;
}

} // namespace quetzalyoke
