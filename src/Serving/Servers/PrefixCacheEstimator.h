#ifndef QUETZALYOKE_SERVING_SERVERS_PREFIXCACHEESTIMATOR_H
#define QUETZALYOKE_SERVING_SERVERS_PREFIXCACHEESTIMATOR_H

#include "Serving/Requests/RequestMetadata.h"

#include <list>
#include <unordered_map>

namespace quetzalyoke {

/// \brief Returns the hashes of the prompt's prefixes: entry i covers parts 0 to i, the model and
/// the adapter.
std::vector<std::uint64_t> computePrefixHashes(const RequestMetadata &metadata);

/// \brief Estimates which prompt prefixes a server has cached, from the requests that this gateway
/// sent there.
///
/// The least recently used prefixes are dropped when all exceed the capacity.
class PrefixCacheEstimator
{
public:
    explicit PrefixCacheEstimator(std::int64_t capacityTokens)
        : m_capacityTokens(capacityTokens) { }

    /// Returns the number of tokens at the start of the prompt that the server need not process
    /// again.
    std::int64_t cachedTokens(const RequestMetadata &metadata,
                              const std::vector<std::uint64_t> &prefixHashes) const;
    /// Records that the server has processed, or is about to process, all parts of the prompt.
    void recordPrompt(const RequestMetadata &metadata,
                      const std::vector<std::uint64_t> &prefixHashes);

private:
    struct Entry
    {
        std::uint64_t hash;
        std::int64_t tokens;
    };

    const std::int64_t m_capacityTokens;
    std::int64_t m_cachedTokens = 0;
    std::list<Entry> m_recent; // most recently used first
    std::unordered_map<std::uint64_t, std::list<Entry>::iterator> m_entries;
};

} // namespace quetzalyoke

#endif
