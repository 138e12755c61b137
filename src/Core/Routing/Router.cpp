#include "Core/Routing/Router.h"

#include "Core/Error.h"

#include <algorithm>
#include <limits>
#include <memory>

namespace quetzalyoke {

namespace {

using Candidate = AgentDirectory::Candidate;
using List = AgentDirectory::TargetAgents::AgentList;

// Costs in shares of a server's capacity: a server without the disadvantage is preferred as long
// as its load is higher by less than this.
constexpr double otherZoneCost = 0.125;
constexpr double missingAdapterCost = 0.25;
constexpr double missingPrefixCost = 0.25;

constexpr std::size_t sampleAttempts = 4; // random draws before a linear search
constexpr std::size_t rendezvousWindow = 16; // agents that compete for a prefix
constexpr std::size_t promptPrefixBytes = 256;

// One routing decision: a request together with the agents that may take it.
class RoutingDecision
{
public:
    RoutingDecision(const RoutingRequest &request, const AgentDirectory &directory, Instant now)
        : m_request(request), m_directory(directory), m_now(now),
          m_target(request.adapter.empty() ? request.target : request.adapter)
    { }

    const AgentDirectory::TargetAgents &targetAgents() const
    {
        return m_directory.agentsServing(m_target);
    }
    const AgentDirectory::TargetAgents &baseModelAgents() const
    {
        return m_directory.agentsServing(m_request.target);
    }
    bool mayLoadAdapter() const { return m_request.mayLoadAdapter && !m_request.adapter.empty(); }

    bool isEligible(const Candidate &candidate) const
    {
        return m_directory.isAvailable(candidate, m_now)
            && !m_request.excluded.contains(candidate.status.instance);
    }

    double cost(const Candidate &candidate) const
    {
        const auto capacity
            = static_cast<double>(std::max<std::int64_t>(1, candidate.status.capacity));
        double sum = static_cast<double>(candidate.estimatedLoad()) / capacity;
        if (candidate.status.zone != m_request.zone)
            sum += otherZoneCost;
        if (mayLoadAdapter() && !candidate.status.availableTargets.contains(m_request.adapter))
            sum += missingAdapterCost;
        return sum;
    }

    // Returns a random eligible agent. Searches the whole list only if no random draw is eligible.
    const Candidate *sample(const List &list, std::mt19937_64 &random) const
    {
        if (list.empty())
            return nullptr;
        std::uniform_int_distribution<std::size_t> pick(0, list.size() - 1);
        for (std::size_t i = 0; i < sampleAttempts; ++i) {
            const Candidate *candidate = list[pick(random)];
            if (isEligible(*candidate))
                return candidate;
        }
        return firstEligible(list, pick(random));
    }

    const Candidate *firstEligible(const List &list, std::size_t start) const
    {
        for (std::size_t i = 0; i < list.size(); ++i) {
            const Candidate *candidate = list[(start + i) % list.size()];
            if (isEligible(*candidate))
                return candidate;
        }
        return nullptr;
    }

private:
    const RoutingRequest &m_request;
    const AgentDirectory &m_directory;
    const Instant m_now;
    const std::string &m_target;
};

// Keeps the cheapest of the candidates considered so far.
class CheapestCandidate
{
public:
    explicit CheapestCandidate(const RoutingDecision &decision) : m_decision(decision) { }

    void consider(const Candidate *candidate, double extraCost = 0)
    {
        if (!candidate)
            return;
        const double cost = m_decision.cost(*candidate) + extraCost;
        if (cost >= m_cost)
            return;
        m_cost = cost;
        m_candidate = candidate;
    }

    const Candidate *candidate() const { return m_candidate; }

private:
    const RoutingDecision &m_decision;
    const Candidate *m_candidate = nullptr;
    double m_cost = std::numeric_limits<double>::infinity();
};

// Considers two agents of the gateway's zone and two of all; if the adapter may be loaded, also two
// that serve its base model.
void considerSamples(CheapestCandidate &best, const RoutingDecision &decision, const ZoneName &zone,
                     std::mt19937_64 &random, double extraCost)
{
    for (int i = 0; i < 2; ++i) {
        best.consider(decision.sample(decision.targetAgents().inZone(zone), random), extraCost);
        best.consider(decision.sample(decision.targetAgents().all, random), extraCost);
        if (decision.mayLoadAdapter())
            best.consider(decision.sample(decision.baseModelAgents().all, random), extraCost);
    }
}

std::uint64_t mixBits(std::uint64_t value)
{
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31U);
}

// Uses rendezvous hashing within a window, so that few prefixes move when a server joins or leaves.
const Candidate *rendezvousAgent(std::uint64_t prefix, const List &list,
                                 const RoutingDecision &decision)
{
    if (list.empty())
        return nullptr;
    const Candidate *best = nullptr;
    std::uint64_t bestWeight = 0;
    const std::size_t start = mixBits(prefix) % list.size();
    const std::size_t n = std::min(rendezvousWindow, list.size());
    for (std::size_t i = 0; i < n; ++i) {
        const Candidate *candidate = list[(start + i) % list.size()];
        const std::uint64_t weight
            = mixBits(prefix ^ std::hash<InstanceId>()(candidate->status.instance));
        if ((best && weight <= bestWeight) || !decision.isEligible(*candidate))
            continue;
        best = candidate;
        bestWeight = weight;
    }
    return best;
}

const Candidate *pickRandom(const RoutingRequest &request, const AgentDirectory &directory,
                            Instant now, std::mt19937_64 &random)
{
    const RoutingDecision decision(request, directory, now);
    return decision.sample(decision.targetAgents().all, random);
}

const Candidate *pickLeastLoaded(const RoutingRequest &request, const AgentDirectory &directory,
                                 Instant now, std::mt19937_64 &)
{
    const RoutingDecision decision(request, directory, now);
    CheapestCandidate best(decision);
    for (const Candidate *it : decision.targetAgents().all) {
        if (decision.isEligible(*it))
            best.consider(it);
    }
    return best.candidate();
}

const Candidate *pickPowerOfTwo(const RoutingRequest &request, const AgentDirectory &directory,
                                Instant now, std::mt19937_64 &random)
{
    const RoutingDecision decision(request, directory, now);
    CheapestCandidate best(decision);
    considerSamples(best, decision, request.zone, random, 0);
    return best.candidate();
}

// Prefers the agent that the prompt's prefix hashes to, unless it is much busier than the sampled
// ones.
const Candidate *pickByAffinity(const RoutingRequest &request, const AgentDirectory &directory,
                                Instant now, std::mt19937_64 &random)
{
    const RoutingDecision decision(request, directory, now);
    CheapestCandidate best(decision);
    const double extraCost = request.promptPrefixHash == 0 ? 0 : missingPrefixCost;
    if (request.promptPrefixHash != 0)
        best.consider(
            rendezvousAgent(request.promptPrefixHash, decision.targetAgents().all, decision));
    considerSamples(best, decision, request.zone, random, extraCost);
    return best.candidate();
}

RoutingPolicy makeRoundRobinPolicy()
{
    return [next = std::size_t(0)](const RoutingRequest &request, const AgentDirectory &directory,
                                   Instant now, std::mt19937_64 &) mutable {
        const RoutingDecision decision(request, directory, now);
        const List &list = decision.targetAgents().all;
        return list.empty() ? nullptr : decision.firstEligible(list, next++ % list.size());
    };
}

} // namespace

RoutingPolicy makeRoutingPolicy(const std::string &name)
{
    if (name == "random")
        return pickRandom;
    if (name == "round_robin")
        return makeRoundRobinPolicy();
    if (name == "least_loaded")
        return pickLeastLoaded;
    if (name == "power_of_two")
        return pickPowerOfTwo;
    if (name == "affinity")
        return pickByAffinity;
    throw Error(ErrorKind::BadSettings,
                "routing_policy = " + name
                    + " is not known; use random, round_robin, least_loaded, power_of_two or "
                      "affinity");
}

std::uint64_t computePromptPrefixHash(std::string_view target, std::string_view prompt)
{
    const std::hash<std::string_view> hash;
    return mixBits(hash(target)) ^ hash(prompt.substr(0, promptPrefixBytes));
}

} // namespace quetzalyoke
