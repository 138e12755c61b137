#include "Serving/Servers/PrefixCacheEstimator.h"

#include <algorithm>
#include <cmath>
#include <string_view>

namespace quetzalyoke {

namespace {

std::uint64_t mix(std::uint64_t seed, std::uint64_t value)
{
    // The finalizer of SplitMix64 makes every bit of the result depend on all bits of both values.
    std::uint64_t x = seed * 0x9e3779b97f4a7c15ULL + value;
    x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
    x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
    return x ^ (x >> 31);
}

// Peers report what they send in intervals, and requests that begin and end within one are not
// known. So the order of eviction is known only roughly: a prefix is certain to be there until this
// share of the available memory has been sent since, and certain to be gone from the second share.
constexpr double certainShare = 0.7;
constexpr double evictedShare = 1.3;

// Time constant with which a belief fades without any known send; the engine may have evicted the
// prefix for requests of gateways that are cut off.
constexpr double fadeSeconds = 120;

// Bounds the memory for one engine, whose KV cache holds some hundred prompts. Callers choose the
// lengths of the parts, which may be 0, so that the capacity alone would not limit their number.
constexpr std::size_t maxEntries = 2048;

// Callers may state any number of tokens, which must not overflow the sums.
constexpr double maxPromptTokens = 1e9;

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

double PrefixCacheEstimator::probability(const Entry &entry, const Memory &memory,
                                         Instant now) const
{
    const double sentSince
        = static_cast<double>(m_ownTokens + memory.peerTokens - entry.sentBefore);
    const double share
        = sentSince / static_cast<double>(std::max<std::int64_t>(1, memory.availableTokens));
    const double kept
        = std::clamp((evictedShare - share) / (evictedShare - certainShare), 0.0, 1.0);
    return kept * std::exp(-std::max(0.0, toSeconds(now - entry.usedAt)) / fadeSeconds);
}

double PrefixCacheEstimator::cachedTokens(const RequestMetadata &metadata,
                                          const std::vector<std::uint64_t> &prefixHashes,
                                          const HeldPrefix &held, const Memory &memory,
                                          Instant now) const
{
    double tokens = 0;
    double chainProbability = 1;
    for (std::size_t i = 0; i < prefixHashes.size() && chainProbability > 0; ++i) {
        const auto it = m_entries.find(prefixHashes[i]);
        const double own = it == m_entries.end() ? 0 : probability(*it->second, memory, now);
        // A part is of use only if the engine has all parts before it.
        chainProbability
            = std::min(chainProbability, std::max(own, i < held.parts ? held.probability : 0));
        tokens += chainProbability * static_cast<double>(metadata.promptParts[i].length.count());
    }
    return std::min(tokens, maxPromptTokens);
}

void PrefixCacheEstimator::recordPrompt(const RequestMetadata &metadata,
                                        const std::vector<std::uint64_t> &prefixHashes,
                                        const Memory &memory, Instant now)
{
    const double cached = cachedTokens(metadata, prefixHashes, {}, memory, now);
    const double sent = static_cast<double>(metadata.promptTokens.count())
        + static_cast<double>(metadata.maxOutputTokens.count()) - cached;
    m_ownTokens += static_cast<std::int64_t>(std::clamp(sent, 0.0, maxPromptTokens));
    for (const std::uint64_t hash : prefixHashes) {
        const Entry entry{hash, m_ownTokens + memory.peerTokens, now};
        const auto known = m_entries.find(hash);
        if (known != m_entries.end()) {
            *known->second = entry;
            m_recent.splice(m_recent.begin(), m_recent, known->second);
            continue;
        }
        m_recent.push_front(entry);
        m_entries.emplace(hash, m_recent.begin());
    }
    while (!m_recent.empty()
           && (m_recent.size() > maxEntries || probability(m_recent.back(), memory, now) <= 0)) {
        m_entries.erase(m_recent.back().hash);
        m_recent.pop_back();
    }
}

} // namespace quetzalyoke
