#ifndef QUETZALYOKE_CORE_STATE_MEMBERROW_H
#define QUETZALYOKE_CORE_STATE_MEMBERROW_H

#include "Core/StrongTypes.h"

#include <string>

namespace quetzalyoke {

/// \brief A gateway's own row in the table, by which the other gateways know it.
struct MemberRow
{
    static constexpr const char *rowKeyPrefix = "state/member/";
    static std::string rowKey(const InstanceId &instance);

    InstanceId instance;
    Incarnation incarnation;
    std::string thriftAddress; ///< host:port for other gateways.
    std::string httpAddress; ///< host:port for operators.
    ZoneName zone;
    std::int64_t heartbeatCount = 0; ///< Counts the writes of this row.
    Version stateVersion; ///< State that the gateway had read when it wrote the row.
    bool hasLeft = false; ///< Serves no more; the row stays until the instance joins again.

    std::string toJson() const;
    /// Throws Error (MalformedData).
    static MemberRow fromJson(const std::string &json);
};

} // namespace quetzalyoke

#endif
