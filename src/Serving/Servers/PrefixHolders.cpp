#include "Serving/Servers/PrefixHolders.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace quetzalyoke {

namespace {

// Averaging window of the demand. One of 25 gateways gets a request for a widely shared part every
// few seconds.
constexpr double demandSeconds = 30;

// Share of an engine's prefill capacity that the prompts with one prefix may take; with more demand
// another engine holds the prefix as well.
constexpr double maxPrefillShare = 0.3;

// Probability that a holder has a prefix, for a gateway that has seen many prompts of that kind.
// With 0.5 the replay read 8 to 20% more shared tokens again, with 0.95 more events were late
// at 1.5 times the load.
constexpr double holderProbability = 0.8;

// A gateway that has sent no prompt with the same first part, for any model, does not know that
// there is any demand, and 25 such gateways would choose the same engine. It relies on holders by
// half after one prompt.
constexpr double sightingSeconds = 600;

// Prompts have two or three shared parts.
constexpr std::size_t maxSharedParts = 8;

// Bounds the memory. Unshared prefixes are not recorded.
constexpr std::size_t maxPrefixes = 16'384;

// Returns the key of a prompt's first part, whatever the model and the adapter.
std::uint64_t firstPartKey(const RequestMetadata &metadata)
{
    return XXH64(&metadata.promptParts.front().id, sizeof(std::uint64_t), 1);
}

} // namespace

std::uint64_t PrefixHolders::rendezvousHash(const ServerName &server, std::uint64_t key)
{
    return XXH64(server.text().data(), server.text().size(), key);
}

double PrefixHolders::requestsPerSecond(std::uint64_t hash, Instant now) const
{
    const auto it = m_demand.find(hash);
    if (it == m_demand.end())
        return 0;
    const double age = std::max(0.0, toSeconds(now - it->second->at));
    return it->second->requests * std::exp(-age / demandSeconds) / demandSeconds;
}

double PrefixHolders::sightings(std::uint64_t hash, Instant now) const
{
    const auto it = m_demand.find(hash);
    if (it == m_demand.end())
        return 0;
    const double age = std::max(0.0, toSeconds(now - it->second->at));
    return it->second->sightings * std::exp(-age / sightingSeconds);
}

void PrefixHolders::recordRequest(const RequestMetadata &metadata,
                                  const std::vector<std::uint64_t> &prefixHashes, Instant now)
{
    if (prefixHashes.size() < 2)
        return;
    recordDemand(firstPartKey(metadata), now);
    for (std::size_t i = 0; i + 1 < std::min(prefixHashes.size(), maxSharedParts + 1); ++i)
        recordDemand(prefixHashes[i], now);
    while (m_recent.size() > maxPrefixes) {
        m_demand.erase(m_recent.back().hash);
        m_recent.pop_back();
    }
}

void PrefixHolders::recordDemand(std::uint64_t hash, Instant now)
{
    const Demand demand{hash, requestsPerSecond(hash, now) * demandSeconds + 1,
                        sightings(hash, now) + 1, now};
    const auto known = m_demand.find(hash);
    if (known != m_demand.end()) {
        *known->second = demand;
        m_recent.splice(m_recent.begin(), m_recent, known->second);
        return;
    }
    m_recent.push_front(demand);
    m_demand.emplace(hash, m_recent.begin());
}

std::vector<HeldPrefix> PrefixHolders::heldPrefixes(const RequestMetadata &metadata,
                                                    const std::vector<std::uint64_t> &prefixHashes,
                                                    const std::vector<const ServerName *> &servers,
                                                    std::size_t gateways, double prefillTokensPerMs,
                                                    Instant now) const
{
    std::vector<HeldPrefix> held(servers.size());
    if (servers.empty() || prefixHashes.size() < 2)
        return held;
    const double seen = sightings(firstPartKey(metadata), now);
    const double probability = holderProbability * seen / (seen + 1);
    std::vector<std::pair<std::uint64_t, std::size_t>> order(servers.size());
    std::int64_t unreadTokens = metadata.promptTokens.count();
    for (std::size_t i = 0; i + 1 < std::min(prefixHashes.size(), maxSharedParts + 1); ++i) {
        unreadTokens
            = std::max<std::int64_t>(0, unreadTokens - metadata.promptParts[i].length.count());
        const double perSecond
            = requestsPerSecond(prefixHashes[i], now) * static_cast<double>(gateways);
        const double busyEngines
            = perSecond * static_cast<double>(unreadTokens) / (prefillTokensPerMs * 1000);
        const double needed = 1 + busyEngines / maxPrefillShare;
        const auto holders
            = static_cast<std::size_t>(std::min(needed, static_cast<double>(servers.size())));
        for (std::size_t k = 0; k < servers.size(); ++k)
            order[k] = {rendezvousHash(*servers[k], prefixHashes[i]), k};
        std::nth_element(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(holders - 1),
                         order.end());
        for (std::size_t k = 0; k < holders; ++k)
            held[order[k].second] = {i + 1, probability};
    }
    return held;
}

} // namespace quetzalyoke
