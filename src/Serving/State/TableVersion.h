#ifndef QUETZALYOKE_SERVING_STATE_TABLEVERSION_H
#define QUETZALYOKE_SERVING_STATE_TABLEVERSION_H

#include "Core/StrongTypes.h"

#include <cstdint>

namespace quetzalyoke {

/// \brief States which rows a copy of a table has: exactly the store's rows at \c version.
///
/// The store's version rises with changes of any table, so copies of different versions may have
/// the same rows. Their digests show that.
struct TableVersion
{
    Version version; ///< 0: the copy has not been read, or its rows are of no single version.
    std::uint64_t digest = 0; ///< Of the rows' keys and versions.

    /// Returns whether \a other has changes that this copy lacks.
    bool isBehind(const TableVersion &other) const
    {
        return version < other.version && digest != other.digest;
    }
    bool operator==(const TableVersion &) const = default;
};

} // namespace quetzalyoke

#endif
