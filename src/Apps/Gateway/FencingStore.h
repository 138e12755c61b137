#ifndef QUETZALYOKE_APPS_GATEWAY_FENCINGSTORE_H
#define QUETZALYOKE_APPS_GATEWAY_FENCINGSTORE_H

#include "Core/Placement/FencingRow.h"
#include "Ports/TableStore.h"

#include <mutex>
#include <optional>
#include <unordered_map>

namespace quetzalyoke {

/// \brief Decides which agent may give orders to each engine: issues fencing epochs in the table
/// and knows the newest epoch of each server.
///
/// Thread-safe. No lock is held while the table is accessed.
class FencingStore
{
public:
    explicit FencingStore(TableStore &table);

    /// \brief An epoch of a server, and when it was read from the table.
    struct KnownEpoch
    {
        std::int64_t epoch = 0;
        Instant readAt;
    };

    /// Issues the next epoch of \a server to \a agent, or returns the one that this incarnation of
    /// the agent already has. Throws Error as the table does, or Error (Conflict); may be retried.
    KnownEpoch acquireEpoch(const ServerName &server, const InstanceId &agent,
                            Incarnation incarnation);
    /// Returns the newest epoch of \a server, or nothing if there is none or before refresh().
    std::optional<KnownEpoch> newestEpoch(const ServerName &server) const;
    /// Reads the rows that have changed in the table. Throws Error. Not to be called by two threads
    /// at once.
    void refresh();

private:
    void recordEpoch(const std::string &key, std::int64_t epoch);

    TableStore &m_table;
    Version m_readVersion; // used by the refreshing thread only
    mutable std::mutex m_mutex; // protects the members below
    std::unordered_map<std::string, std::int64_t> m_epochs;
    std::optional<Instant> m_readAt;
};

} // namespace quetzalyoke

#endif
