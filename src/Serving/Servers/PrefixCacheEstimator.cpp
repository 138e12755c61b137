#include "Serving/Servers/PrefixCacheEstimator.h"

#include <algorithm>
#include <string_view>

namespace quetzalyoke {

namespace {

// Far above the prefixes that fit into a server's memory. Callers choose the lengths of the parts,
// which may be 0, so that the capacity alone would not limit their number.
constexpr std::size_t maxEntries = 8192;

std::uint64_t mix(std::uint64_t seed, std::uint64_t value)
{
    // The finalizer of SplitMix64 makes every bit of the result depend on all bits of both values.
    std::uint64_t x = seed * 0x9e3779b97f4a7c15ULL + value;
    x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
    x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
    return x ^ (x >> 31);
}

} // namespace

std::vector<std::uint64_t> computePrefixHashes(const RequestMetadata &metadata)
{
    std::vector<std::uint64_t> prefixHashes;
    prefixHashes.reserve(metadata.promptParts.size());
    const std::hash<std::string_view> hash;
    std::uint64_t state = mix(hash(metadata.model.text()), hash(metadata.adapter.text()));
    for (const PromptPart &part : metadata.promptParts) {
        state = mix(state, part.id);
        prefixHashes.push_back(state);
    }
    return prefixHashes;
}

std::int64_t
PrefixCacheEstimator::cachedTokens(const RequestMetadata &metadata,
                                   const std::vector<std::uint64_t> &prefixHashes) const
{
    std::int64_t tokens = 0;
    for (std::size_t i = 0; i < prefixHashes.size(); ++i) {
        if (m_entries.count(prefixHashes[i]) == 0)
            break;
        tokens += metadata.promptParts[i].length.count();
    }
    return tokens;
}

void PrefixCacheEstimator::recordPrompt(const RequestMetadata &metadata,
                                        const std::vector<std::uint64_t> &prefixHashes)
{
    for (std::size_t i = 0; i < prefixHashes.size(); ++i) {
        const auto known = m_entries.find(prefixHashes[i]);
        if (known != m_entries.end()) {
            m_recent.splice(m_recent.begin(), m_recent, known->second);
            continue;
        }
        const std::int64_t tokens
            = std::max<std::int64_t>(0, metadata.promptParts[i].length.count());
        m_recent.push_front({prefixHashes[i], tokens});
        m_entries.emplace(prefixHashes[i], m_recent.begin());
        m_cachedTokens += tokens;
    }
    while ((m_cachedTokens > m_capacityTokens || m_entries.size() > maxEntries)
           && !m_recent.empty()) {
        m_cachedTokens -= m_recent.back().tokens;
        m_entries.erase(m_recent.back().hash);
        m_recent.pop_back();
    }
}

} // namespace quetzalyoke
