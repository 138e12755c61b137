#ifndef QUETZALYOKE_CORE_PLACEMENT_MINIMUMPLACEMENT_H
#define QUETZALYOKE_CORE_PLACEMENT_MINIMUMPLACEMENT_H

#include "Core/Configuration/ServiceList.h"

#include <map>
#include <vector>

namespace quetzalyoke {

/// \brief A model or adapter that a server should hold.
struct PlannedModel
{
    std::string name;
    std::string version;
    Megabytes memory;
    bool isAdapter = false;
};

/// \brief Which server holds which models: one copy of every model, adapters beside their base.
///
/// A pure function of the service list, so that all gateways compute the same plan.
struct MinimumPlacement
{
    std::map<ServerName, std::vector<PlannedModel>> modelsByServer;
    std::vector<ModelName> unplaced; ///< Models that fit on no server with their adapters.

    static MinimumPlacement compute(const ServiceList &list);
};

} // namespace quetzalyoke

#endif
