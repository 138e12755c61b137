#ifndef QUETZALYOKE_SERVING_SERVERS_PREFIXCACHEESTIMATOR_H
#define QUETZALYOKE_SERVING_SERVERS_PREFIXCACHEESTIMATOR_H

#include "Serving/Requests/RequestMetadata.h"

#include <list>
#include <unordered_map>

namespace quetzalyoke {

/// \brief Returns the hashes of the prompt's prefixes: entry i covers parts 0 to i, the model and
/// the adapter.
std::vector<std::uint64_t> computePrefixHashes(const RequestMetadata &metadata);

/// \brief The beginning of a prompt that an engine may have cached because all gateways send
/// prompts with it there; see PrefixHolders.
struct HeldPrefix
{
    std::size_t parts = 0;
    double probability = 0; ///< That the engine has it although this gateway has not sent it.
};

/// \brief Estimates which prompt prefixes an engine has cached, from the requests that this gateway
/// sent there; no I/O.
///
/// An engine evicts the least recently used prefixes when its memory is full. A prefix is believed
/// the less, the more tokens were sent to the engine since its last use and the longer ago that is.
class PrefixCacheEstimator
{
public:
    /// \brief What is known of the engine's memory.
    struct Memory
    {
        std::int64_t availableTokens = 0; ///< KV cache that running requests don't take.
        /// Tokens that peers are known to have sent to this incarnation so far.
        std::int64_t peerTokens = 0;
    };

    /// Returns the expected number of tokens at the start of the prompt that the engine need not
    /// process again.
    double cachedTokens(const RequestMetadata &metadata,
                        const std::vector<std::uint64_t> &prefixHashes, const HeldPrefix &held,
                        const Memory &memory, Instant now) const;
    /// Records that the engine has processed, or is about to process, all parts of the prompt.
    void recordPrompt(const RequestMetadata &metadata,
                      const std::vector<std::uint64_t> &prefixHashes, const Memory &memory,
                      Instant now);

private:
    struct Entry
    {
        std::uint64_t hash;
        std::int64_t sentBefore; ///< Tokens that the engine had got before its last use.
        Instant usedAt;
    };

    /// Returns the probability that the engine still has \a entry.
    double probability(const Entry &entry, const Memory &memory, Instant now) const;

    std::int64_t m_ownTokens = 0; // sent there by this gateway, without those believed to be cached
    std::list<Entry> m_recent; // most recently used first
    std::unordered_map<std::uint64_t, std::list<Entry>::iterator> m_entries;
};

} // namespace quetzalyoke

#endif
