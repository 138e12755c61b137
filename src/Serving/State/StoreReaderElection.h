#ifndef QUETZALYOKE_SERVING_STATE_STOREREADERELECTION_H
#define QUETZALYOKE_SERVING_STATE_STOREREADERELECTION_H

#include "Serving/State/RecentGatewayFailures.h"

#include <map>
#include <optional>
#include <vector>

namespace quetzalyoke {

/// \brief A gateway as the election sees it.
struct GatewayCandidate
{
    InstanceId instance;
    ZoneName zone;
    bool isAlive = false; ///< Heard of lately and not leaving.
    bool followsStore = false; ///< Reads changes from the store, which answers it.
    double processorShare = 0; ///< The largest instance reads first.
};

/// How many of \a gateways that are alive come before one of \a processorShare: larger instances
/// do, of the same size the first by name.
std::size_t gatewayRank(const std::vector<GatewayCandidate> &gateways, double processorShare,
                        const InstanceId &instance);

/// The gateways that speak for their zones: of each the second largest instance that is alive,
/// since the largest reads the store, or the only one.
std::map<ZoneName, InstanceId> chooseZoneAggregators(const std::vector<GatewayCandidate> &gateways);

/// \brief Chooses which gateway of an availability zone reads the store for the others.
///
/// The store's calls would otherwise grow with the gateways. Every gateway decides by itself from
/// what it hears; if two differ, both read the store, and a gateway that gets nothing from its
/// reader reads the store itself.
class StoreReaderElection
{
public:
    struct Settings
    {
        std::size_t maxIndependentReaders
            = 2; ///< Gateways of a zone up to which each reads the store.
        Duration exclusionAfterFailure{5'000'000}; ///< After a reader failed.
    };

    StoreReaderElection(const Settings &settings, InstanceId self, ZoneName zone,
                        double processorShare);

    /// The gateway to read from; nothing: the store itself.
    std::optional<InstanceId> reader(const std::vector<GatewayCandidate> &peers, Instant now) const;
    void recordFailure(const InstanceId &reader, Instant now)
    {
        m_recentFailures.recordFailure(reader, now);
    }

private:
    const Settings m_settings;
    const InstanceId m_self;
    const ZoneName m_zone;
    const double m_processorShare;
    RecentGatewayFailures m_recentFailures;
};

} // namespace quetzalyoke

#endif
