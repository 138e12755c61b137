#ifndef QUETZALYOKE_CORE_PLACEMENT_MINIMUMPLACEMENT_H
#define QUETZALYOKE_CORE_PLACEMENT_MINIMUMPLACEMENT_H

#include "Core/Configuration/ServiceList.h"

#include <map>
#include <vector>

namespace quetzalyoke {

/// \brief A model or adapter that a server should have loaded.
struct PlannedModel
{
    std::string name;
    std::string version;
    Megabytes memory;
    bool isAdapter = false;
};

/// \brief A placement with one replica of every model, and adapters on the server of their base.
///
/// It depends only on the service list, so that all gateways compute the same placement.
struct MinimumPlacement
{
    std::map<ServerName, std::vector<PlannedModel>> modelsByServer;
    std::vector<ModelName> unplaced; ///< Models that, with their adapters, fit on no server.

    /// Computes the placement for \a list.
    static MinimumPlacement compute(const ServiceList &list);
};

} // namespace quetzalyoke

#endif
