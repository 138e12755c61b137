#ifndef QUETZALYOKE_STANDINS_ENGINE_PREFIXCACHE_H
#define QUETZALYOKE_STANDINS_ENGINE_PREFIXCACHE_H

#include "Core/StrongTypes.h"

#include <cstdint>
#include <deque>
#include <list>
#include <unordered_map>
#include <vector>

namespace quetzalyoke::standins {

/// \brief A change of the prefix cache, as the engine publishes it.
struct CacheEvent
{
    std::int64_t sequenceNumber = 0; ///< Rises by one; a missing number is a lost event.
    std::uint64_t block = 0;
    bool stored = true; ///< Stored or evicted.
    Instant at;
};

/// \brief Least recently used prompt blocks in limited memory. Not thread-safe.
class PrefixCache
{
public:
    explicit PrefixCache(std::size_t capacity);

    /// Number of leading \a blocks that are cached; stores them all.
    std::size_t matchAndStore(const std::vector<std::uint64_t> &blocks, Instant now);
    /// Events after sequence \a after that are no younger than \a before.
    std::vector<CacheEvent> events(std::int64_t after, Instant before) const;

private:
    void store(std::uint64_t block, Instant now);
    void publish(std::uint64_t block, bool stored, Instant now);

    std::size_t m_capacity;
    std::list<std::uint64_t> m_order; // most recently used first
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_blocks;
    std::deque<CacheEvent> m_events;
    std::int64_t m_sequence = 0;
};

} // namespace quetzalyoke::standins

#endif
