#ifndef QUETZALYOKE_CORE_PLACEMENT_FENCINGROW_H
#define QUETZALYOKE_CORE_PLACEMENT_FENCINGROW_H

#include "Core/StrongTypes.h"

#include <string>

namespace quetzalyoke {

/// \brief Which agent may order a backend server's engine, as the table keeps it.
struct FencingRow
{
    static constexpr const char *rowKeyPrefix = "fence/";
    static std::string rowKey(const ServerName &server);

    std::int64_t epoch = 0; ///< Rises with each agent that asks.
    InstanceId holder;
    Incarnation incarnation;

    bool isHeldBy(const InstanceId &instance, Incarnation itsIncarnation) const
    {
        return holder == instance && incarnation == itsIncarnation;
    }
    std::string toJson() const;
    /// Throws Error (MalformedData).
    static FencingRow fromJson(const std::string &json);
};

} // namespace quetzalyoke

#endif
