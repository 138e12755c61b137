#ifndef QUETZALYOKE_SERVING_REQUESTS_STREAMVERSIONS_H
#define QUETZALYOKE_SERVING_REQUESTS_STREAMVERSIONS_H

#include "Core/StrongTypes.h"

#include <deque>
#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

namespace quetzalyoke {

/// Identifies a stream over a caller's tries; a hash of 16 hexadecimal digits.
using StreamKey = StrongId<struct StreamKeyTag>;

/// Returns the key of the stream whose first event \a attempt of \a account has brought.
StreamKey streamKey(const AccountId &account, const RequestId &attempt);

/// \brief A change of the stored software versions of streams.
struct StreamVersionWrite
{
    std::vector<std::pair<StreamKey, SoftwareVersion>> added;
    std::vector<StreamKey> removed;

    bool isEmpty() const { return added.empty() && removed.empty(); }
};

/// \brief The software versions that began this gateway's recent streams; no I/O.
///
/// They are kept in memory for all streams, and in the store for those of services with several
/// versions, since callers take streams up at any gateway and after all gateways have restarted.
class StreamVersions
{
public:
    struct Settings
    {
        Duration retention = std::chrono::seconds(40); ///< Callers return within their deadlines.
        std::size_t maxStreams = 50'000; ///< The oldest are dropped first.
        std::size_t maxPerWrite = 50; ///< Rows added, and rows removed, by one write.
    };

    explicit StreamVersions(const Settings &settings) : m_settings(settings) { }

    /// Records the version that began a stream. A version that is known stays.
    void record(const StreamKey &key, const ServiceName &service, const SoftwareVersion &version,
                Instant now);
    std::optional<SoftwareVersion> find(const StreamKey &key) const;
    /// Returns the next change of the store, the latest streams first. \a mustStore returns
    /// whether the streams of a service belong there.
    StreamVersionWrite nextWrite(const std::function<bool(const ServiceName &)> &mustStore);
    /// Returns whether the store has streams that are no longer in memory.
    bool hasRemovals() const { return !m_removed.empty(); }
    /// Called when a write has ended; it is repeated if it failed.
    void finishWrite(const StreamVersionWrite &write, bool ok);
    /// Called when the store has come back from a copy: all streams must be written again.
    void onStoreRestored();
    void removeExpired(Instant now);

private:
    struct Entry
    {
        ServiceName service;
        SoftwareVersion version;
        bool isStored = false;
    };

    void removeOldest();

    const Settings m_settings;
    std::unordered_map<StreamKey, Entry> m_entries;
    std::deque<std::pair<Instant, StreamKey>> m_order; // the oldest first
    std::deque<StreamKey> m_removed; // from memory, still in the store
};

} // namespace quetzalyoke

#endif
