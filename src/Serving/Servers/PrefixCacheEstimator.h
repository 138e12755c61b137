#ifndef QUETZALYOKE_SERVING_SERVERS_PREFIXCACHEESTIMATOR_H
#define QUETZALYOKE_SERVING_SERVERS_PREFIXCACHEESTIMATOR_H

#include "Serving/Requests/RequestMetadata.h"

#include <list>
#include <unordered_map>

namespace quetzalyoke {

/// \brief Hashes of the prompt's beginnings: entry i covers parts 0 to i and the weights.
std::vector<std::uint64_t> computePrefixHashes(const RequestMetadata &call);

/// \brief Which beginnings of prompts a server has read lately, as far as this gateway sent them.
///
/// The least recently used go first once they exceed the server's memory.
class PrefixCacheEstimator
{
public:
    explicit PrefixCacheEstimator(std::int64_t capacityTokens)
        : m_capacityTokens(capacityTokens) { }

    /// Tokens at the beginning of the prompt that need not be read again.
    std::int64_t cachedTokens(const RequestMetadata &call,
                              const std::vector<std::uint64_t> &chain) const;
    /// The server has read, or is about to read, all parts of the prompt.
    void recordPrompt(const RequestMetadata &call, const std::vector<std::uint64_t> &chain);

private:
    struct Entry
    {
        std::uint64_t hash;
        std::int64_t tokens;
    };

    const std::int64_t m_capacityTokens;
    std::int64_t m_cachedTokens = 0;
    std::list<Entry> m_recent; // latest first
    std::unordered_map<std::uint64_t, std::list<Entry>::iterator> m_entries;
};

} // namespace quetzalyoke

#endif
