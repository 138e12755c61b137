#include "Core/Router.h"

#include <algorithm>

namespace quetzalyoke {

namespace {

using Candidate = AgentDirectory::Candidate;

// Waiting work for each slot; the reported load lags, so this gateway's own count is a floor.
double loadOf(const Candidate &candidate)
{
    const std::int64_t reported = candidate.status.queued + candidate.status.running;
    const auto load = static_cast<double>(std::max(reported, candidate.ownLoad));
    return load / static_cast<double>(std::max<std::int64_t>(1, candidate.status.capacity));
}

std::vector<Candidate> nearest(const RoutingRequest &request,
                               const std::vector<Candidate> &candidates)
{
    std::vector<Candidate> sameZone;
    std::vector<Candidate> others;
    for (const Candidate &it : candidates) {
        if (request.excluded.contains(it.status.instance))
            continue;
        (it.status.zone == request.zone && loadOf(it) < 1 ? sameZone : others).push_back(it);
    }
    return sameZone.empty() ? others : sameZone;
}

} // namespace

RoutingPolicy powerOfTwoChoices()
{
    return [](const RoutingRequest &request, const std::vector<Candidate> &candidates,
              std::mt19937_64 &random) -> std::optional<Candidate> {
        const std::vector<Candidate> choices = nearest(request, candidates);
        if (choices.empty())
            return std::nullopt;
        std::uniform_int_distribution<std::size_t> pick(0, choices.size() - 1);
        const Candidate &first = choices[pick(random)];
        const Candidate &second = choices[pick(random)];
        return loadOf(second) < loadOf(first) ? second : first;
    };
}

} // namespace quetzalyoke
