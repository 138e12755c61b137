#ifndef QUETZALYOKE_CORE_PLACEMENT_FENCINGROW_H
#define QUETZALYOKE_CORE_PLACEMENT_FENCINGROW_H

#include "Core/StrongTypes.h"

#include <string>

namespace quetzalyoke {

/// \brief Stored row that names the agent that may send orders to a backend server's engine.
struct FencingRow
{
    static constexpr const char *rowKeyPrefix = "fence/";
    static std::string rowKey(const ServerName &server);

    std::int64_t epoch = 0; ///< Rises with each agent that takes over.
    InstanceId holder; ///< The agent.
    Incarnation incarnation; ///< Incarnation of the holder.

    /// Returns whether the holder is \a instance in \a instanceIncarnation.
    bool isHeldBy(const InstanceId &instance, Incarnation instanceIncarnation) const
    {
        return holder == instance && incarnation == instanceIncarnation;
    }
    std::string toJson() const;
    /// Throws Error (MalformedData) if \a json is not a JSON object.
    static FencingRow fromJson(const std::string &json);
};

} // namespace quetzalyoke

#endif
