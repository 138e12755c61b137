#ifndef QUETZALYOKE_CORE_STATE_MEMBERROW_H
#define QUETZALYOKE_CORE_STATE_MEMBERROW_H

#include "Core/StrongTypes.h"

#include <string>

namespace quetzalyoke {

/// \brief Table row with which a gateway makes itself known to the other gateways.
struct MemberRow
{
    static constexpr const char *rowKeyPrefix = "state/member/";
    static std::string rowKey(const InstanceId &instance);

    InstanceId instance;
    Incarnation incarnation;
    std::string thriftAddress; ///< As host:port, for other gateways.
    std::string httpAddress; ///< As host:port, for operators.
    ZoneName zone;
    std::int64_t heartbeatCount = 0; ///< Number of writes of this row.
    Version stateVersion; ///< Version of the state that the gateway knew at the write.
    bool hasLeft = false; ///< The gateway has stopped serving; the row stays until it rejoins.

    std::string toJson() const;
    /// Throws Error (MalformedData).
    static MemberRow fromJson(const std::string &json);
};

} // namespace quetzalyoke

#endif
