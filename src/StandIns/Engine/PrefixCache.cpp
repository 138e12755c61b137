#include "StandIns/Engine/PrefixCache.h"

namespace quetzalyoke::standins {

namespace {

constexpr std::size_t maximumEvents = 65536;

} // namespace

PrefixCache::PrefixCache(std::size_t capacity) : m_capacity(capacity) { }

std::size_t PrefixCache::matchAndStore(const std::vector<std::uint64_t> &blocks, Instant now)
{
    std::size_t hits = 0;
    while (hits < blocks.size() && m_blocks.contains(blocks[hits]))
        ++hits;
    for (const std::uint64_t it : blocks)
        store(it, now);
    return hits;
}

std::vector<CacheEvent> PrefixCache::events(std::int64_t after, Instant before) const
{
    std::vector<CacheEvent> found;
    for (const CacheEvent &it : m_events) {
        if (it.sequenceNumber > after && it.at <= before)
            found.push_back(it);
    }
    return found;
}

void PrefixCache::store(std::uint64_t block, Instant now)
{
    if (m_capacity == 0)
        return;
    const auto it = m_blocks.find(block);
    if (it != m_blocks.end()) {
        m_byRecency.splice(m_byRecency.begin(), m_byRecency, it->second);
        return;
    }
    if (m_blocks.size() == m_capacity) {
        publish(m_byRecency.back(), false, now);
        m_blocks.erase(m_byRecency.back());
        m_byRecency.pop_back();
    }
    m_byRecency.push_front(block);
    m_blocks[block] = m_byRecency.begin();
    publish(block, true, now);
}

void PrefixCache::publish(std::uint64_t block, bool stored, Instant now)
{
    m_events.push_back({++m_sequence, block, stored, now});
    if (m_events.size() > maximumEvents)
        m_events.pop_front();
}

} // namespace quetzalyoke::standins
