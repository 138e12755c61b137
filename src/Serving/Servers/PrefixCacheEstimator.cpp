#include "Serving/Servers/PrefixCacheEstimator.h"

#include <string_view>

namespace quetzalyoke {

namespace {

std::uint64_t mix(std::uint64_t seed, std::uint64_t value)
{
    // The finaliser of SplitMix64 spreads every bit of both.
    std::uint64_t x = seed * 0x9e3779b97f4a7c15ULL + value;
    x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
    x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
    return x ^ (x >> 31);
}

} // namespace

std::vector<std::uint64_t> computePrefixHashes(const RequestMetadata &call)
{
    std::vector<std::uint64_t> chain;
    chain.reserve(call.promptParts.size());
    const std::hash<std::string_view> hash;
    std::uint64_t state = mix(hash(call.model.text()), hash(call.adapter.text()));
    for (const PromptPart &part : call.promptParts) {
        state = mix(state, part.hash);
        chain.push_back(state);
    }
    return chain;
}

std::int64_t PrefixCacheEstimator::cachedTokens(const RequestMetadata &call,
                                                const std::vector<std::uint64_t> &chain) const
{
    std::int64_t tokens = 0;
    for (std::size_t i = 0; i < chain.size(); ++i) {
        if (m_entries.count(chain[i]) == 0)
            break;
        tokens += call.promptParts[i].length.count();
    }
    return tokens;
}

void PrefixCacheEstimator::recordPrompt(const RequestMetadata &call,
                                        const std::vector<std::uint64_t> &chain)
{
    for (std::size_t i = 0; i < chain.size(); ++i) {
        const auto known = m_entries.find(chain[i]);
        if (known != m_entries.end()) {
            m_recent.splice(m_recent.begin(), m_recent, known->second);
            continue;
        }
        const std::int64_t tokens = call.promptParts[i].length.count();
        m_recent.push_front({chain[i], tokens});
        m_entries.emplace(chain[i], m_recent.begin());
        m_cachedTokens += tokens;
    }
    while (m_cachedTokens > m_capacityTokens && !m_recent.empty()) {
        m_cachedTokens -= m_recent.back().tokens;
        m_entries.erase(m_recent.back().hash);
        m_recent.pop_back();
    }
}

} // namespace quetzalyoke
