#ifndef QUETZALYOKE_APPS_GATEWAY_PLANSTORE_H
#define QUETZALYOKE_APPS_GATEWAY_PLANSTORE_H

#include "Core/Placement/PlacementPlan.h"
#include "Ports/TableStore.h"

#include <map>
#include <memory>
#include <mutex>

namespace quetzalyoke {

/// \brief A snapshot of the plan in the table; immutable.
struct CommittedPlan
{
    Version version; ///< Highest version of its rows; plans of equal version are equal.
    Version configurationVersion; ///< For which all its rows were made; 0 if they differ.
    PlacementPlan plan;
};

/// \brief Reads and writes the plan's rows in the table. Only current() is thread-safe.
class PlanStore
{
public:
    PlanStore(TableStore &table, std::size_t shardCount);

    /// Reads the rows that have changed. Throws Error. Neither this nor commit() may be called by
    /// two threads at once.
    void refresh();
    /// Returns the newest known plan; never null.
    std::shared_ptr<const CommittedPlan> current() const;
    /// Writes the shards in which \a plan differs from current(), or all shards if the
    /// configuration differs, unless they have been changed since they were read. Throws Error.
    void commit(const PlacementPlan &plan, Version configuration);

private:
    struct KnownRow
    {
        PlanRow row;
        Version version;
    };

    bool isShardKey(const std::string &key) const;
    void updateCurrent();

    TableStore &m_table;
    const std::size_t m_shardCount;
    std::map<std::string, KnownRow> m_rows; // used by the refreshing thread only
    Version m_readVersion;
    mutable std::mutex m_mutex; // protects m_current
    std::shared_ptr<const CommittedPlan> m_current;
};

} // namespace quetzalyoke

#endif
