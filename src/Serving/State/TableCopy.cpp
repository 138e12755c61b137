#include "Serving/State/TableCopy.h"

#include <algorithm>
#include <set>

#include <xxhash.h>

namespace quetzalyoke {

namespace {

// Kept for gateways that request changes; servers are added and removed a few times a second at
// most.
constexpr std::size_t maxKeptDeletions = 256;

// Digest of a table without rows. A copy that was never read has none.
constexpr std::uint64_t emptyTableDigest = 1;

std::uint64_t digestOf(const StoreRow &row)
{
    return XXH3_64bits_withSeed(row.key.data(), row.key.size(),
                                static_cast<std::uint64_t>(row.version.count()));
}

} // namespace

TableVersion TableCopy::version() const
{
    if (m_version.count() == 0)
        return {};
    return {m_version, m_rowDigest ^ emptyTableDigest};
}

void TableCopy::applyRead(const std::vector<StoreRow> &rows, Version version)
{
    // A peer has already passed on a later version.
    if (version < m_version)
        return;
    replaceRows(rows, version);
}

void TableCopy::applyFeed(const std::vector<StoreRow> &rows, Version since, Version version)
{
    // A peer may have passed on a later version since the store was asked.
    if (m_version.count() == 0 || since > m_version || version <= m_version)
        return;
    applyRows(rows);
    m_version = version;
}

TableChanges TableCopy::changesSince(const TableVersion &known) const
{
    TableChanges changes;
    changes.newest = version();
    changes.since = known.version;
    const bool knowsDeletions = known.version.count() > 0 && known.version >= m_deletionsKnownSince;
    if (!knowsDeletions && known.digest == changes.newest.digest) {
        changes.kind = TableChanges::Kind::Unchanged;
        return changes;
    }
    if (!knowsDeletions) {
        for (const auto &[key, row] : m_rows)
            changes.rows.push_back(row);
        return changes;
    }
    changes.kind = TableChanges::Kind::Changes;
    for (const StoreRow &row : m_deleted) {
        if (row.version > known.version && m_rows.count(row.key) == 0)
            changes.rows.push_back(row);
    }
    for (const auto &[key, row] : m_rows) {
        if (row.version > known.version)
            changes.rows.push_back(row);
    }
    std::sort(changes.rows.begin(), changes.rows.end(),
              [](const StoreRow &a, const StoreRow &b) { return a.version < b.version; });
    return changes;
}

bool TableCopy::applyPeerChanges(const TableChanges &changes)
{
    if (changes.newest.version <= m_version)
        return true;
    switch (changes.kind) {
    case TableChanges::Kind::AllRows:
        replaceRows(changes.rows, changes.newest.version);
        break;
    case TableChanges::Kind::Unchanged:
        if (changes.newest.digest != version().digest)
            return true; // the rows have changed here since the request
        m_deleted.clear();
        m_deletionsKnownSince = changes.newest.version;
        break;
    case TableChanges::Kind::Changes:
        if (m_version.count() == 0 || changes.since > m_version)
            return true; // all rows have been requested since, or this copy has begun anew
        applyRows(changes.rows);
        break;
    }
    m_version = changes.newest.version;
    if (version().digest == changes.newest.digest)
        return true;
    m_version = Version();
    return false;
}

void TableCopy::replaceRows(const std::vector<StoreRow> &rows, Version version)
{
    std::set<std::string> present;
    for (const StoreRow &row : rows)
        present.insert(row.key);
    std::vector<StoreRow> deletions;
    for (const auto &[key, row] : m_rows) {
        if (present.count(key) > 0)
            continue;
        deletions.push_back(row);
        deletions.back().isDeleted = true;
    }
    for (const StoreRow &row : deletions) {
        eraseRow(row.key);
        m_onRow(row);
    }
    for (const StoreRow &row : rows) {
        const auto it = m_rows.find(row.key);
        if (it != m_rows.end() && it->second.version == row.version)
            continue;
        putRow(row);
        m_onRow(row);
    }
    // Rows may have been added and deleted without being seen here, so nothing is known of
    // earlier deletions.
    m_deleted.clear();
    m_deletionsKnownSince = version;
    m_version = version;
    m_isLoaded = true;
}

// Applies changes, oldest first. Those up to the version of this copy are known, and a row among
// them may have been deleted since.
void TableCopy::applyRows(const std::vector<StoreRow> &rows)
{
    for (const StoreRow &row : rows) {
        if (row.version <= m_version)
            continue;
        if (!row.isDeleted) {
            putRow(row);
            m_onRow(row);
            continue;
        }
        recordDeletion(row);
        if (m_rows.count(row.key) == 0)
            continue;
        eraseRow(row.key);
        m_onRow(row);
    }
}

void TableCopy::putRow(const StoreRow &row)
{
    eraseRow(row.key);
    m_rows[row.key] = row;
    m_rowDigest ^= digestOf(row);
}

void TableCopy::eraseRow(const std::string &key)
{
    const auto it = m_rows.find(key);
    if (it == m_rows.end())
        return;
    m_rowDigest ^= digestOf(it->second);
    m_rows.erase(it);
}

void TableCopy::recordDeletion(const StoreRow &row)
{
    m_deleted.push_back(row);
    m_deleted.back().value.clear();
    if (m_deleted.size() <= maxKeptDeletions)
        return;
    m_deletionsKnownSince = m_deleted.front().version;
    m_deleted.pop_front();
}

} // namespace quetzalyoke
