#ifndef QUETZALYOKE_CORE_PLACEMENT_ENGINEORDER_H
#define QUETZALYOKE_CORE_PLACEMENT_ENGINEORDER_H

#include "Core/StrongTypes.h"

#include <string>
#include <vector>

namespace quetzalyoke {

using FencingNumber = Quantity<struct FencingNumberTag>; ///< Of an order; rises with each one.

/// \brief A model or adapter that an engine holds or should hold.
struct Holding
{
    std::string name;
    std::string version;
    Megabytes memory;
    bool adapter = false;
    bool ready = false; ///< Loaded to its end; says nothing in an order.

    /// Whether both are the same version of the same model or adapter.
    bool isSame(const Holding &other) const
    {
        return name == other.name && version == other.version;
    }
};

/// \brief What an engine says of itself.
struct EngineReport
{
    std::vector<Holding> holdings;
    Megabytes memory; ///< Zero: not told.
    FencingNumber fencing; ///< Highest number of any order that it took.
};

/// \brief One order to an engine.
struct EngineOrder
{
    enum class Kind { Load, Unload };

    Kind kind = Kind::Load;
    Holding holding; ///< Of an unload only the name counts.
    FencingNumber fencing;
};

} // namespace quetzalyoke

#endif
