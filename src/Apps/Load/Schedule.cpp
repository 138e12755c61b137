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

bool applies(const RateMultiplier &multiplier, const std::string &name, Duration at)
{
    return multiplier.name == name && multiplier.from <= at && at < multiplier.until;
}

double rateFactor(const std::vector<RateMultiplier> &multipliers, const std::string &name,
                  Duration at)
{
    double product = 1;
    for (const RateMultiplier &it : multipliers) {
        if (applies(it, name, at))
            product *= it.factor;
    }
    return product;
}

std::string repeatToLength(const std::string &start, std::int64_t tokens)
{
    std::string text = start;
    const auto bytes = static_cast<std::size_t>(tokens) * bytesPerToken;
    while (text.size() < bytes)
        text += " of " + start;
    text.resize(std::max(bytes, start.size()));
    return text;
}

// Generates the random requests of one account.
class AccountRequestGenerator
{
public:
    AccountRequestGenerator(const Experiment &experiment, const AccountWorkload &workload,
                            std::uint64_t seed)
        : m_experiment(experiment), m_workload(workload),
          m_random(seed ^ std::hash<std::string>()(workload.name.text()))
    {
        rankTargets();
    }

    void add(std::vector<PlannedRequest> &requests)
    {
        if (m_workload.requestsPerSecond > 0)
            addModelRequests(requests);
        if (m_workload.serviceCallsPerSecond > 0 && !m_experiment.serviceCallPath.empty())
            addServiceCalls(requests);
    }

private:
    // Each account has its own popularity order of targets, which doesn't depend on the seed.
    void rankTargets()
    {
        m_targets = m_experiment.targets;
        std::mt19937_64 order(std::hash<std::string>()(m_workload.name.text()));
        std::shuffle(m_targets.begin(), m_targets.end(), order);
        for (std::size_t i = 0; i < m_targets.size(); ++i)
            m_weights.push_back(1
                                / std::pow(static_cast<double>(i + 1), m_experiment.zipfExponent));
    }

    std::vector<double> weightsAt(Duration at) const
    {
        std::vector<double> weights = m_weights;
        for (std::size_t i = 0; i < m_targets.size(); ++i)
            weights[i] *= rateFactor(m_experiment.targetMultipliers, m_targets[i], at);
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
        return m_workload.requestsPerSecond * sum(weights) / sum(m_weights)
            * rateFactor(m_experiment.accountMultipliers, m_workload.name.text(), at);
    }

    Duration randomInterval(double perSecond)
    {
        std::exponential_distribution<double> distribution(perSecond);
        return Duration(1 + static_cast<std::int64_t>(distribution(m_random) * microsPerSecond));
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
            request.account = m_workload.name;
            request.target = m_targets[pick(m_random)];
            request.prompt = promptFor(request.target);
            request.outputTokens = randomAround(m_workload.outputTokens);
            requests.push_back(request);
        }
    }

    std::string promptFor(const std::string &target)
    {
        std::uniform_int_distribution<std::int64_t> prefix(1, m_workload.distinctPrefixes);
        const std::string shared = m_workload.name.text() + " " + target + " history "
            + std::to_string(prefix(m_random));
        const std::string question = "question " + std::to_string(m_random());
        std::string text;
        if (m_workload.prefixTokens > 0)
            text = repeatToLength(shared, m_workload.prefixTokens);
        return text + repeatToLength(question, randomAround(m_workload.promptTokens));
    }

    void addServiceCalls(std::vector<PlannedRequest> &requests)
    {
        for (Duration at = randomInterval(m_workload.serviceCallsPerSecond);
             at < m_experiment.duration; at += randomInterval(m_workload.serviceCallsPerSecond)) {
            PlannedRequest request;
            request.at = at;
            request.account = m_workload.name;
            request.prompt = R"({"booking":")" + std::to_string(m_random()) + "\"}";
            requests.push_back(request);
        }
    }

    const Experiment &m_experiment;
    const AccountWorkload &m_workload;
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
