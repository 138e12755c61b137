#ifndef QUETZALYOKE_SERVING_STATE_STOREREADERELECTION_H
#define QUETZALYOKE_SERVING_STATE_STOREREADERELECTION_H

#include "Serving/State/RecentGatewayFailures.h"

#include <map>
#include <optional>
#include <vector>

namespace quetzalyoke {

/// \brief State of a gateway that elections depend on.
struct GatewayCandidate
{
    InstanceId instance;
    ZoneName zone;
    bool isAlive = false; ///< It was heard of recently and isn't leaving.
    bool followsStore = false; ///< It reads changes from the store, and the store responds.
    double processorShare = 0; ///< Size of the instance; the largest one reads the store.
};

/// Returns how many of the \a gateways that are alive rank before \a instance, which has
/// \a processorShare. Larger instances rank first, those of the same size by name.
std::size_t gatewayRank(const std::vector<GatewayCandidate> &gateways, double processorShare,
                        const InstanceId &instance);

/// Returns the aggregator of each zone: the second largest instance that is alive, since the
/// largest reads the store, or the only one.
std::map<ZoneName, InstanceId> chooseZoneAggregators(const std::vector<GatewayCandidate> &gateways);

/// \brief Chooses which gateway of an availability zone reads the store for the others.
///
/// Otherwise the calls to the store would grow with the number of gateways. Every gateway decides
/// by itself from what it knows of its peers. If two decide differently, both read the store. A
/// gateway that receives nothing from its reader reads the store itself.
class StoreReaderElection
{
public:
    struct Settings
    {
        std::size_t maxIndependentReaders
            = 2; ///< In a zone of up to this many gateways each reads the store.
        Duration exclusionAfterFailure{5'000'000}; ///< How long a reader that failed is not used.
    };

    StoreReaderElection(const Settings &settings, InstanceId self, ZoneName zone,
                        double processorShare);

    /// Returns the gateway to read from; nothing if this gateway reads the store itself.
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
