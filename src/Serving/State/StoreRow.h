#ifndef QUETZALYOKE_SERVING_STATE_STOREROW_H
#define QUETZALYOKE_SERVING_STATE_STOREROW_H

#include "Core/StrongTypes.h"

#include <string>

namespace quetzalyoke {

/// \brief A row of one of the store's tables.
struct StoreRow
{
    std::string key;
    std::string value;
    Version version; ///< Of the store when the row was written or deleted.
    bool isDeleted = false;
};

} // namespace quetzalyoke

#endif
