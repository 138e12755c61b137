#ifndef QUETZALYOKE_STANDINS_ENGINE_PREFIXCACHE_H
#define QUETZALYOKE_STANDINS_ENGINE_PREFIXCACHE_H

#include "Core/StrongTypes.h"

#include <cstdint>
#include <deque>
#include <list>
#include <unordered_map>
#include <vector>

namespace quetzalyoke::standins {

/// \brief A change of the prefix cache, as it is published.
struct CacheEvent
{
    std::int64_t sequenceNumber = 0; ///< Rises by one; a gap is a lost event.
    std::uint64_t block = 0;
    bool stored = true; ///< False if the block was evicted.
    Instant at;
};

/// \brief A cache of prompt blocks that evicts the least recently used. Not thread-safe.
class PrefixCache
{
public:
    explicit PrefixCache(std::size_t capacity);

    /// Stores all \a blocks. Returns how many of the leading ones were already cached.
    std::size_t matchAndStore(const std::vector<std::uint64_t> &blocks, Instant now);
    /// Returns the events with a sequence number above \a after, up to the time \a before.
    std::vector<CacheEvent> events(std::int64_t after, Instant before) const;

private:
    void store(std::uint64_t block, Instant now);
    void publish(std::uint64_t block, bool stored, Instant now);

    std::size_t m_capacity;
    std::list<std::uint64_t> m_byRecency; // most recently used first
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_blocks;
    std::deque<CacheEvent> m_events;
    std::int64_t m_sequence = 0;
};

} // namespace quetzalyoke::standins

#endif
