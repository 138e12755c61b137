#ifndef QUETZALYOKE_SERVING_STATE_RECENTGATEWAYFAILURES_H
#define QUETZALYOKE_SERVING_STATE_RECENTGATEWAYFAILURES_H

#include "Core/StrongTypes.h"

#include <map>

namespace quetzalyoke {

/// \brief Remembers gateways that failed recently, which are not relied on for a while.
class RecentGatewayFailures
{
public:
    explicit RecentGatewayFailures(Duration period) : m_period(period) { }

    void recordFailure(const InstanceId &gateway, Instant now) { m_failedAt[gateway] = now; }
    bool hasFailedRecently(const InstanceId &gateway, Instant now) const
    {
        const auto it = m_failedAt.find(gateway);
        return it != m_failedAt.end() && now - it->second < m_period;
    }

private:
    const Duration m_period;
    std::map<InstanceId, Instant> m_failedAt;
};

} // namespace quetzalyoke

#endif
