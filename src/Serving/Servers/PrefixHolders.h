#ifndef QUETZALYOKE_SERVING_SERVERS_PREFIXHOLDERS_H
#define QUETZALYOKE_SERVING_SERVERS_PREFIXHOLDERS_H

#include "Serving/Servers/PrefixCacheEstimator.h"

#include <list>
#include <unordered_map>

namespace quetzalyoke {

/// \brief Determines which engines hold the shared prefixes of prompts, so that all gateways send
/// prompts with the same prefix to the same engines without messages; no I/O.
///
/// A prefix is held by the first engines in the order of rendezvous hashing. Their number grows
/// with the demand for the prefix, which each gateway derives from its own requests and the number
/// of gateways. Estimates that differ change the number of engines but not their order.
class PrefixHolders
{
public:
    /// Returns a hash that orders servers differently for each \a key, the same at all gateways.
    static std::uint64_t rendezvousHash(const ServerName &server, std::uint64_t key);

    /// Records that a request with these prefixes is sent. The last one is not shared.
    void recordRequest(const RequestMetadata &metadata,
                       const std::vector<std::uint64_t> &prefixHashes, Instant now);
    /// Returns for each of \a servers, which are all that could run the request, which part of the
    /// prompt it holds. A gateway that has not seen such prompts does not rely on holders.
    /// An engine reads \a prefillTokensPerMs prompt tokens per ms.
    std::vector<HeldPrefix> heldPrefixes(const RequestMetadata &metadata,
                                         const std::vector<std::uint64_t> &prefixHashes,
                                         const std::vector<const ServerName *> &servers,
                                         std::size_t gateways, double prefillTokensPerMs,
                                         Instant now) const;

private:
    struct Demand
    {
        std::uint64_t hash;
        double requests; ///< The sum of the requests, each with a weight that falls with its age.
        double sightings; ///< The same over a longer time.
        Instant at;
    };

    void recordDemand(std::uint64_t hash, Instant now);
    /// Returns the requests per second of this gateway with the prefix \a hash.
    double requestsPerSecond(std::uint64_t hash, Instant now) const;
    /// Returns the number of requests of this gateway with the prefix \a hash, old ones in part.
    double sightings(std::uint64_t hash, Instant now) const;

    std::list<Demand> m_recent; // most recently requested first
    std::unordered_map<std::uint64_t, std::list<Demand>::iterator> m_demand;
};

} // namespace quetzalyoke

#endif
