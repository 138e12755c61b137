#include "Serving/State/StoreReaderElection.h"

#include <algorithm>
#include <utility>

namespace quetzalyoke {

namespace {

// Larger instances come first, then the order is by name.
bool comesBefore(double processorShare, const InstanceId &instance, double otherProcessorShare,
                 const InstanceId &other)
{
    return processorShare != otherProcessorShare ? processorShare > otherProcessorShare
                                                 : instance < other;
}

} // namespace

std::size_t gatewayRank(const std::vector<GatewayCandidate> &gateways, double processorShare,
                        const InstanceId &instance)
{
    return static_cast<std::size_t>(
        std::count_if(gateways.begin(), gateways.end(), [&](const GatewayCandidate &it) {
            return it.isAlive
                && comesBefore(it.processorShare, it.instance, processorShare, instance);
        }));
}

std::map<ZoneName, InstanceId> chooseZoneAggregators(const std::vector<GatewayCandidate> &gateways)
{
    struct Largest
    {
        const GatewayCandidate *first = nullptr;
        const GatewayCandidate *second = nullptr;
    };
    const auto isBefore = [](const GatewayCandidate &a, const GatewayCandidate *b) {
        return !b || comesBefore(a.processorShare, a.instance, b->processorShare, b->instance);
    };
    std::map<ZoneName, Largest> zones;
    for (const GatewayCandidate &gateway : gateways) {
        if (!gateway.isAlive)
            continue;
        Largest &zone = zones[gateway.zone];
        if (isBefore(gateway, zone.first))
            zone.second = std::exchange(zone.first, &gateway);
        else if (isBefore(gateway, zone.second))
            zone.second = &gateway;
    }
    std::map<ZoneName, InstanceId> aggregators;
    for (const auto &[name, zone] : zones)
        aggregators[name] = zone.second ? zone.second->instance : zone.first->instance;
    return aggregators;
}

StoreReaderElection::StoreReaderElection(const Settings &settings, InstanceId self, ZoneName zone,
                                         double processorShare)
    : m_settings(settings), m_self(std::move(self)), m_zone(std::move(zone)),
      m_processorShare(processorShare), m_recentFailures(settings.exclusionAfterFailure)
{ }

std::optional<InstanceId> StoreReaderElection::reader(const std::vector<GatewayCandidate> &peers,
                                                      Instant now) const
{
    std::size_t gateways = 1;
    const GatewayCandidate *largestPeer = nullptr;
    for (const GatewayCandidate &peer : peers) {
        if (peer.zone != m_zone || !peer.isAlive)
            continue;
        ++gateways;
        if (!largestPeer
            || comesBefore(peer.processorShare, peer.instance, largestPeer->processorShare,
                           largestPeer->instance))
            largestPeer = &peer;
    }
    if (gateways <= m_settings.maxIndependentReaders || !largestPeer->followsStore
        || comesBefore(m_processorShare, m_self, largestPeer->processorShare,
                       largestPeer->instance))
        return {};
    if (m_recentFailures.hasFailedRecently(largestPeer->instance, now))
        return {};
    return largestPeer->instance;
}

} // namespace quetzalyoke
