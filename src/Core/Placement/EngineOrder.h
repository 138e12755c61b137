#ifndef QUETZALYOKE_CORE_PLACEMENT_ENGINEORDER_H
#define QUETZALYOKE_CORE_PLACEMENT_ENGINEORDER_H

#include "Core/StrongTypes.h"

#include <string>
#include <vector>

namespace quetzalyoke {

using FencingToken = Quantity<struct FencingTokenTag>; ///< Rises with each order.

/// \brief A model or adapter that an engine has loaded or should load.
struct HostedModel
{
    std::string name;
    std::string version;
    Megabytes memory;
    bool isAdapter = false;
    bool isReady = false; ///< Loading is complete; not used in an order.

    /// Returns whether both are the same version of the same model or adapter.
    bool isSameVersion(const HostedModel &other) const
    {
        return name == other.name && version == other.version;
    }
};

/// \brief The state that an engine reports.
struct EngineReport
{
    std::vector<HostedModel> models;
    Megabytes memory; ///< Zero if not reported.
    FencingToken highestFencingToken; ///< Highest token of any order that it accepted.
};

/// \brief A load or unload order to an engine.
struct EngineOrder
{
    enum class Kind { Load, Unload };

    Kind kind = Kind::Load;
    HostedModel model; ///< For an unload order, only the name is used.
    FencingToken fencingToken;
};

} // namespace quetzalyoke

#endif
