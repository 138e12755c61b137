#ifndef QUETZALYOKE_CORE_PLACEMENT_ENGINEORDER_H
#define QUETZALYOKE_CORE_PLACEMENT_ENGINEORDER_H

#include "Core/StrongTypes.h"

#include <string>
#include <vector>

namespace quetzalyoke {

using FencingToken = Quantity<struct FencingTokenTag>; ///< Of an order; rises with each one.

/// \brief A model or adapter that an engine holds or should hold.
struct HostedModel
{
    std::string name;
    std::string version;
    Megabytes memory;
    bool isAdapter = false;
    bool isReady = false; ///< Loaded to its end; says nothing in an order.

    /// Whether both are the same version of the same model or adapter.
    bool isSameVersion(const HostedModel &other) const
    {
        return name == other.name && version == other.version;
    }
};

/// \brief What an engine says of itself.
struct EngineReport
{
    std::vector<HostedModel> models;
    Megabytes memory; ///< Zero: not told.
    FencingToken highestFencingToken; ///< Highest number of any order that it took.
};

/// \brief One order to an engine.
struct EngineOrder
{
    enum class Kind { Load, Unload };

    Kind kind = Kind::Load;
    HostedModel model; ///< Of an unload only the name counts.
    FencingToken fencingToken;
};

} // namespace quetzalyoke

#endif
