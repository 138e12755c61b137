#ifndef QUETZALYOKE_APPS_GATEWAY_FENCINGSTORE_H
#define QUETZALYOKE_APPS_GATEWAY_FENCINGSTORE_H

#include "Core/Placement/FencingRow.h"
#include "Ports/TableStore.h"

#include <mutex>
#include <optional>
#include <unordered_map>

namespace quetzalyoke {

/// \brief Which agent may order each engine: mints epochs in the table and knows the newest.
///
/// Thread-safe; no lock is held during a call of the table.
class FencingStore
{
public:
    explicit FencingStore(TableStore &table);

    /// An epoch of \a server, and when the table was read for it.
    struct KnownEpoch
    {
        std::int64_t epoch = 0;
        Instant readAt;
    };

    /// Gives an agent the next epoch of its server, or again the one that it has.
    /// Throws Error as the table does; asking again is harmless.
    KnownEpoch acquireEpoch(const ServerName &server, const InstanceId &agent,
                            Incarnation incarnation);
    /// Newest epoch of \a server; nothing before the first refresh or where it has none.
    std::optional<KnownEpoch> newestEpoch(const ServerName &server) const;
    /// Reads what has changed in the table. Throws Error. One thread at a time.
    void refresh();

private:
    void recordEpoch(const std::string &key, std::int64_t epoch);

    TableStore &m_table;
    Version m_readVersion; // of the refreshing thread
    mutable std::mutex m_mutex; // of the members below
    std::unordered_map<std::string, std::int64_t> m_epochs;
    std::optional<Instant> m_readAt;
};

} // namespace quetzalyoke

#endif
