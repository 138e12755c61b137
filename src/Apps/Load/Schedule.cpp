#include "Apps/Load/Schedule.h"

#include "Core/Accounts/TokenCounter.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <random>

namespace quetzalyoke {

namespace {

constexpr Tokens serviceCallTokens{1};
constexpr std::size_t bytesPerToken = 4;
constexpr double microsPerSecond = 1e6;

bool holds(const RateMultiplier &change, const std::string &name, Duration at)
{
    return change.name == name && change.from <= at && at < change.until;
}

double factor(const std::vector<RateMultiplier> &changes, const std::string &name, Duration at)
{
    double times = 1;
    for (const RateMultiplier &it : changes) {
        if (holds(it, name, at))
            times *= it.factor;
    }
    return times;
}

std::string filler(const std::string &start, std::int64_t tokens)
{
    std::string text = start;
    const auto bytes = static_cast<std::size_t>(tokens) * bytesPerToken;
    while (text.size() < bytes)
        text += " of " + start;
    text.resize(std::max(bytes, start.size()));
    return text;
}

// Draws the requests of one account.
class AccountRequestGenerator
{
public:
    AccountRequestGenerator(const Experiment &experiment, const AccountWorkload &demand,
                            std::uint64_t seed)
        : m_experiment(experiment), m_demand(demand),
          m_random(seed ^ std::hash<std::string>()(demand.name.text()))
    {
        rankTargets();
    }

    void add(std::vector<PlannedRequest> &requests)
    {
        if (m_demand.requestsPerSecond > 0)
            addModelRequests(requests);
        if (m_demand.serviceCallsPerSecond > 0 && !m_experiment.serviceCallPath.empty())
            addServiceCalls(requests);
    }

private:
    // Each account has favourites of its own; they don't depend on the seed.
    void rankTargets()
    {
        m_targets = m_experiment.targets;
        std::mt19937_64 order(std::hash<std::string>()(m_demand.name.text()));
        std::shuffle(m_targets.begin(), m_targets.end(), order);
        for (std::size_t i = 0; i < m_targets.size(); ++i)
            m_weights.push_back(1
                                / std::pow(static_cast<double>(i + 1), m_experiment.zipfExponent));
    }

    std::vector<double> weightsAt(Duration at) const
    {
        std::vector<double> weights = m_weights;
        for (std::size_t i = 0; i < m_targets.size(); ++i)
            weights[i] *= factor(m_experiment.targetMultipliers, m_targets[i], at);
        return weights;
    }

    double rateAt(Duration at, const std::vector<double> &weights) const
    {
        const auto sum = [](const std::vector<double> &values) {
            double total = 0;
            for (const double it : values)
                total += it;
            return total;
        };
        return m_demand.requestsPerSecond * sum(weights) / sum(m_weights)
            * factor(m_experiment.accountMultipliers, m_demand.name.text(), at);
    }

    Duration randomInterval(double perSecond)
    {
        std::exponential_distribution<double> draw(perSecond);
        return Duration(1 + static_cast<std::int64_t>(draw(m_random) * microsPerSecond));
    }

    std::int64_t randomAround(std::int64_t mean)
    {
        return std::uniform_int_distribution<std::int64_t>((mean + 1) / 2,
                                                           mean + mean / 2)(m_random);
    }

    void addModelRequests(std::vector<PlannedRequest> &requests)
    {
        std::vector<double> weights = weightsAt(Duration::zero());
        for (Duration at = randomInterval(rateAt(Duration::zero(), weights));
             at < m_experiment.duration; at += randomInterval(rateAt(at, weights))) {
            weights = weightsAt(at);
            std::discrete_distribution<std::size_t> pick(weights.begin(), weights.end());
            PlannedRequest request;
            request.at = at;
            request.account = m_demand.name;
            request.target = m_targets[pick(m_random)];
            request.prompt = promptFor(request.target);
            request.outputTokens = randomAround(m_demand.outputTokens);
            requests.push_back(request);
        }
    }

    std::string promptFor(const std::string &target)
    {
        std::uniform_int_distribution<std::int64_t> prefix(1, m_demand.distinctPrefixes);
        const std::string shared
            = m_demand.name.text() + " " + target + " history " + std::to_string(prefix(m_random));
        const std::string own = "question " + std::to_string(m_random());
        std::string text;
        if (m_demand.prefixTokens > 0)
            text = filler(shared, m_demand.prefixTokens);
        return text + filler(own, randomAround(m_demand.promptTokens));
    }

    void addServiceCalls(std::vector<PlannedRequest> &requests)
    {
        for (Duration at = randomInterval(m_demand.serviceCallsPerSecond);
             at < m_experiment.duration; at += randomInterval(m_demand.serviceCallsPerSecond)) {
            PlannedRequest request;
            request.at = at;
            request.account = m_demand.name;
            request.prompt = R"({"booking":")" + std::to_string(m_random()) + "\"}";
            requests.push_back(request);
        }
    }

    const Experiment &m_experiment;
    const AccountWorkload &m_demand;
    std::mt19937_64 m_random;
    std::vector<std::string> m_targets; // most popular first
    std::vector<double> m_weights;
};

} // namespace

std::string PlannedRequest::body() const
{
    if (isServiceCall())
        return prompt;
    return nlohmann::json{
        {"model", target}, {"prompt", prompt}, {"stream", true}, {"max_tokens", outputTokens}}
        .dump();
}

Tokens PlannedRequest::quotaCost() const
{
    return isServiceCall() ? serviceCallTokens
                           : estimatePromptTokens(body().size()) + Tokens(outputTokens);
}

std::vector<PlannedRequest> planRequests(const Experiment &experiment, std::uint64_t seed)
{
    std::vector<PlannedRequest> requests;
    for (const AccountWorkload &it : experiment.accounts)
        AccountRequestGenerator(experiment, it, seed).add(requests);
    std::stable_sort(requests.begin(), requests.end(),
                     [](const auto &a, const auto &b) { return a.at < b.at; });
    return requests;
}

} // namespace quetzalyoke
