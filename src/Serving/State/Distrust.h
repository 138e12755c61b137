#ifndef QUETZALYOKE_SERVING_STATE_DISTRUST_H
#define QUETZALYOKE_SERVING_STATE_DISTRUST_H

#include "Core/StrongTypes.h"

#include <map>

namespace quetzalyoke {

/// \brief Gateways that have failed lately, and are not relied on for a while.
class Distrust
{
public:
    explicit Distrust(Duration length) : m_length(length) { }

    void noteFailure(const InstanceId &gateway, Instant now) { m_failedAt[gateway] = now; }
    bool covers(const InstanceId &gateway, Instant now) const
    {
        const auto it = m_failedAt.find(gateway);
        return it != m_failedAt.end() && now - it->second < m_length;
    }

private:
    const Duration m_length;
    std::map<InstanceId, Instant> m_failedAt;
};

} // namespace quetzalyoke

#endif
