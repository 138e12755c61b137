#ifndef QUETZALYOKE_APPS_GATEWAY_PLANSTORE_H
#define QUETZALYOKE_APPS_GATEWAY_PLANSTORE_H

#include "Core/Placement/PlacementPlan.h"
#include "Ports/TableStore.h"

#include <map>
#include <memory>
#include <mutex>

namespace quetzalyoke {

/// \brief A plan as the table had it at one moment; immutable.
struct CommittedPlan
{
    Version version; ///< Highest of its rows; two plans of one version are the same.
    Version configurationVersion; ///< That all its rows were made for; 0: they differ.
    PlacementPlan plan;
};

/// \brief The plan's rows in the table, as this gateway last read them. Thread-safe.
class PlanStore
{
public:
    PlanStore(TableStore &table, std::size_t shards);

    /// Reads what has changed. Throws Error. One thread at a time, as is commit().
    void refresh();
    /// The newest plan known; never nothing.
    std::shared_ptr<const CommittedPlan> current() const;
    /// Writes the shards in which \a plan differs from current(), or all of them for another
    /// configuration, if nobody has changed them since. Throws Error.
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
    const std::size_t m_shards;
    std::map<std::string, KnownRow> m_rows; // of the refreshing thread
    Version m_readVersion;
    mutable std::mutex m_mutex; // of the member below
    std::shared_ptr<const CommittedPlan> m_current;
};

} // namespace quetzalyoke

#endif
