#include "Core/Routing/Router.h"

#include "Core/Error.h"

#include <algorithm>
#include <limits>
#include <memory>

namespace quetzalyoke {

namespace {

using Candidate = AgentDirectory::Candidate;
using List = AgentDirectory::TargetAgents::AgentList;

// Costs in shares of a server's capacity: what a choice may be busier and still be preferred.
constexpr double otherZoneCost = 0.125;
constexpr double missingAdapterCost = 0.25;
constexpr double missingPrefixCost = 0.25;

constexpr std::size_t sampleTries = 4; // draws until one is fit for work
constexpr std::size_t rendezvousWindow = 16; // agents among which a prefix has its home
constexpr std::size_t prefixBytes = 256;

// One decision: the request with the agents that may take it.
class RoutingDecision
{
public:
    RoutingDecision(const RoutingRequest &request, const AgentDirectory &directory, Instant now)
        : m_request(request), m_directory(directory), m_now(now),
          m_target(request.adapter.empty() ? request.target : request.adapter)
    { }

    const AgentDirectory::TargetAgents &ready() const
    {
        return m_directory.agentsServing(m_target);
    }
    const AgentDirectory::TargetAgents &base() const
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

    // A random agent that is fit for work; looks through all only where chance finds none.
    const Candidate *sample(const List &list, std::mt19937_64 &random) const
    {
        if (list.empty())
            return nullptr;
        std::uniform_int_distribution<std::size_t> pick(0, list.size() - 1);
        for (std::size_t i = 0; i < sampleTries; ++i) {
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

// The cheapest candidate offered so far.
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

// Two of the own zone and two of all; where the adapter may be loaded, two with its base.
void considerSamples(CheapestCandidate &best, const RoutingDecision &decision, const ZoneName &zone,
                     std::mt19937_64 &random, double extraCost)
{
    for (int i = 0; i < 2; ++i) {
        best.consider(decision.sample(decision.ready().inZone(zone), random), extraCost);
        best.consider(decision.sample(decision.ready().all, random), extraCost);
        if (decision.mayLoadAdapter())
            best.consider(decision.sample(decision.base().all, random), extraCost);
    }
}

std::uint64_t mixBits(std::uint64_t value)
{
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31U);
}

// Rendezvous hashing within a window: a server that comes or goes moves few prefixes.
const Candidate *rendezvousAgent(std::uint64_t prefix, const List &list,
                                 const RoutingDecision &decision)
{
    if (list.empty())
        return nullptr;
    const Candidate *home = nullptr;
    std::uint64_t highest = 0;
    const std::size_t start = mixBits(prefix) % list.size();
    const std::size_t n = std::min(rendezvousWindow, list.size());
    for (std::size_t i = 0; i < n; ++i) {
        const Candidate *candidate = list[(start + i) % list.size()];
        const std::uint64_t weight
            = mixBits(prefix ^ std::hash<InstanceId>()(candidate->status.instance));
        if ((home && weight <= highest) || !decision.isEligible(*candidate))
            continue;
        home = candidate;
        highest = weight;
    }
    return home;
}

const Candidate *pickRandom(const RoutingRequest &request, const AgentDirectory &directory,
                            Instant now, std::mt19937_64 &random)
{
    const RoutingDecision decision(request, directory, now);
    return decision.sample(decision.ready().all, random);
}

const Candidate *pickLeastLoaded(const RoutingRequest &request, const AgentDirectory &directory,
                                 Instant now, std::mt19937_64 &)
{
    const RoutingDecision decision(request, directory, now);
    CheapestCandidate best(decision);
    for (const Candidate *it : decision.ready().all) {
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

// The prefix's homes, in the own zone and in all, unless they are much busier than others.
const Candidate *pickByAffinity(const RoutingRequest &request, const AgentDirectory &directory,
                                Instant now, std::mt19937_64 &random)
{
    const RoutingDecision decision(request, directory, now);
    CheapestCandidate best(decision);
    const double lost = request.promptPrefixHash == 0 ? 0 : missingPrefixCost;
    if (request.promptPrefixHash != 0)
        best.consider(rendezvousAgent(request.promptPrefixHash, decision.ready().all, decision));
    considerSamples(best, decision, request.zone, random, lost);
    return best.candidate();
}

RoutingPolicy roundRobin()
{
    return [next = std::size_t(0)](const RoutingRequest &request, const AgentDirectory &directory,
                                   Instant now, std::mt19937_64 &) mutable {
        const RoutingDecision decision(request, directory, now);
        const List &list = decision.ready().all;
        return list.empty() ? nullptr : decision.firstEligible(list, next++ % list.size());
    };
}

} // namespace

RoutingPolicy makeRoutingPolicy(const std::string &name)
{
    if (name == "random")
        return pickRandom;
    if (name == "round_robin")
        return roundRobin();
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
    return mixBits(hash(target)) ^ hash(prompt.substr(0, prefixBytes));
}

} // namespace quetzalyoke
