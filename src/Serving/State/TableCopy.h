#ifndef QUETZALYOKE_SERVING_STATE_TABLECOPY_H
#define QUETZALYOKE_SERVING_STATE_TABLECOPY_H

#include "Serving/State/StoreRow.h"
#include "Serving/State/TableVersion.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace quetzalyoke {

/// \brief The difference between two versions of a table, for a copy of the earlier one.
struct TableChanges
{
    enum class Kind {
        Changes, ///< \c rows are the changes after \c since, deletions included.
        Unchanged, ///< The receiver has the rows of \c newest; deletions in between are unknown.
        AllRows, ///< \c rows are all rows.
    };

    Kind kind = Kind::AllRows;
    std::vector<StoreRow> rows;
    Version since;
    TableVersion newest; ///< What the receiver has once it has applied this.
};

/// \brief A copy of one table of the store; no I/O.
///
/// It has the rows of exactly one version of the store, and gives other copies either everything
/// that they lack or all rows.
class TableCopy
{
public:
    using RowHook = std::function<void(const StoreRow &)>;

    /// \a onRow is called for each row that is added, changed or deleted.
    explicit TableCopy(RowHook onRow) : m_onRow(std::move(onRow)) { }

    bool isLoaded() const { return m_isLoaded; }
    const std::map<std::string, StoreRow> &rows() const { return m_rows; }
    /// Returns what this copy has. The version is 0 if the rows are of no single version.
    TableVersion version() const;

    /// Replaces all rows by those that the store had at \a version.
    void applyRead(const std::vector<StoreRow> &rows, Version version);
    /// Applies the changes from \a since to \a version as the store has listed them, unless this
    /// copy is of an earlier version than \a since.
    void applyFeed(const std::vector<StoreRow> &rows, Version since, Version version);

    /// Returns what a copy that has \a known lacks.
    TableChanges changesSince(const TableVersion &known) const;
    /// Applies what changesSince() of another copy has returned for this one, unless this copy is
    /// as new. Returns false if the result differs from the other copy; the version is then 0, so
    /// that all rows are requested next.
    bool applyPeerChanges(const TableChanges &changes);

private:
    void replaceRows(const std::vector<StoreRow> &rows, Version version);
    void applyRows(const std::vector<StoreRow> &rows);
    void putRow(const StoreRow &row);
    void eraseRow(const std::string &key);
    void recordDeletion(const StoreRow &row);

    const RowHook m_onRow;
    std::map<std::string, StoreRow> m_rows;
    std::uint64_t m_rowDigest = 0; // of all rows, combined by exclusive or
    Version m_version;
    std::deque<StoreRow> m_deleted; // latest deletions, oldest first
    Version m_deletionsKnownSince; // all deletions after this version are in m_deleted
    bool m_isLoaded = false;
};

} // namespace quetzalyoke

#endif
