#include "Apps/Load/Report.h"

#include "Apps/Load/DebtTokenBucket.h"
#include "Apps/Load/Percentiles.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <sstream>

namespace quetzalyoke {

namespace {

using Json = nlohmann::json;

// Counts the model requests of one account.
struct AccountCounts
{
    std::int64_t sent = 0;
    std::int64_t within = 0; // within the account's rate and burst
    std::int64_t attained = 0; // of those within the rate: completed within the latency limits
    std::int64_t refusedWithin = 0;

    double attainment() const
    {
        return within == 0 ? 1 : static_cast<double>(attained) / static_cast<double>(within);
    }
    Json toJson() const
    {
        return {{"sent", sent},
                {"within_rate", within},
                {"attained", attained},
                {"refused_within_rate", refusedWithin},
                {"attainment", attainment()}};
    }
};

// Counts the faulty responses, regardless of their latency.
struct FaultCounts
{
    std::int64_t incomplete = 0; // the response ended early
    std::int64_t mismatched = 0; // the response belongs to another request
    std::int64_t runTwice = 0; // model requests that ran more than once
    std::int64_t duplicateServiceCalls = 0;
    std::int64_t lostServiceCalls = 0; // reported as completed, but not in any record
    std::int64_t falseNotRunRefusals = 0; // refused as "not-run", but found in a record

    Json toJson() const
    {
        return {{"broken", incomplete},
                {"foreign", mismatched},
                {"run_twice", runTwice},
                {"doubled_bookings", duplicateServiceCalls},
                {"lost_bookings", lostServiceCalls},
                {"untrue_refusals", falseNotRunRefusals}};
    }
};

class ReportBuilder
{
public:
    ReportBuilder(const Experiment &experiment, const StandInRunSummary &summary)
        : m_experiment(experiment), m_summary(summary)
    { }

    void add(const PlannedRequest &request, const RequestOutcome &outcome, bool within)
    {
        addFaults(request, outcome);
        if (outcome.kind == RequestOutcome::Kind::Refused) {
            ++m_refusals[outcome.failureReason];
            if (within)
                ++m_refusalsWithin[outcome.failureReason];
        } else if (outcome.kind == RequestOutcome::Kind::Incomplete) {
            ++m_breaks[outcome.failureReason];
        }
        if (!request.isServiceCall())
            addModelRequest(request, outcome, within);
    }

    Json toJson() const
    {
        AccountCounts total;
        double worst = 1;
        Json accounts = Json::object();
        for (const auto &[name, it] : m_accounts) {
            total.sent += it.sent;
            total.within += it.within;
            total.attained += it.attained;
            total.refusedWithin += it.refusedWithin;
            worst = std::min(worst, it.attainment());
            accounts[name.text()] = it.toJson();
        }
        const double seconds = std::chrono::duration<double>(m_experiment.duration).count();
        const auto accelerators = static_cast<double>(m_experiment.accelerators);
        Json report = total.toJson();
        report["experiment"] = m_experiment.name;
        report["worst_account_attainment"] = worst;
        report["attained_per_accelerator_s"]
            = static_cast<double>(total.attained) / seconds / accelerators;
        report["accounts"] = accounts;
        report["refusals"] = m_refusals;
        report["refusals_within_rate"] = m_refusalsWithin;
        report["breaks"] = m_breaks;
        report["first_token_ms"] = m_firstToken.toJson();
        report["between_tokens_ms"] = m_betweenTokens.toJson();
        report["faults"] = m_faults.toJson();
        report["model_loads"] = m_summary.modelLoads;
        report["adapter_loads"] = m_summary.adapterLoads;
        report["overcommitted_engines"] = m_summary.overcommittedEngines;
        report["records_gone"] = m_summary.unreachableStandIns;
        return report;
    }

private:
    void addFaults(const PlannedRequest &request, const RequestOutcome &outcome)
    {
        const auto it = m_summary.runsByRequest.find(outcome.requestId);
        const std::int64_t runs = it == m_summary.runsByRequest.end() ? 0 : it->second;
        if (outcome.kind == RequestOutcome::Kind::Incomplete)
            ++m_faults.incomplete;
        if (outcome.kind == RequestOutcome::Kind::Mismatched)
            ++m_faults.mismatched;
        if (outcome.runState == "not-run" && runs > 0 && !outcome.requestId.empty())
            ++m_faults.falseNotRunRefusals;
        if (runs > 1)
            ++(request.isServiceCall() ? m_faults.duplicateServiceCalls : m_faults.runTwice);
        // An unreachable stand-in took its record along, so a booking without a record proves
        // nothing.
        if (request.isServiceCall() && outcome.kind == RequestOutcome::Kind::Complete && runs == 0
            && m_summary.unreachableStandIns == 0)
            ++m_faults.lostServiceCalls;
    }

    void addModelRequest(const PlannedRequest &request, const RequestOutcome &outcome, bool within)
    {
        AccountCounts &account = m_accounts[request.account];
        ++account.sent;
        if (outcome.kind == RequestOutcome::Kind::Complete) {
            m_firstToken.add(outcome.timeToFirstToken);
            m_betweenTokens.add(outcome.interTokenLatency());
        }
        if (!within)
            return;
        ++account.within;
        if (outcome.kind == RequestOutcome::Kind::Refused)
            ++account.refusedWithin;
        if (outcome.kind == RequestOutcome::Kind::Complete
            && outcome.timeToFirstToken <= m_experiment.timeToFirstTokenLimit
            && outcome.interTokenLatency() <= m_experiment.interTokenLatencyLimit)
            ++account.attained;
    }

    const Experiment &m_experiment;
    const StandInRunSummary &m_summary;
    std::map<AccountId, AccountCounts> m_accounts;
    std::map<std::string, std::int64_t> m_refusals;
    std::map<std::string, std::int64_t> m_refusalsWithin;
    std::map<std::string, std::int64_t> m_breaks;
    FaultCounts m_faults;
    Percentiles m_firstToken;
    Percentiles m_betweenTokens;
};

} // namespace

// An account that exceeds its rate is entitled to an amount of tokens, not to particular requests.
// Therefore the bucket is charged with the requests that were served, not with those that it would
// have admitted by itself; a refused request is not charged.
std::vector<bool> findWithinRate(const Experiment &experiment,
                                 const std::vector<PlannedRequest> &requests,
                                 const std::vector<RequestOutcome> &outcomes)
{
    std::map<AccountId, DebtTokenBucket> buckets;
    for (const AccountWorkload &it : experiment.accounts)
        buckets.emplace(it.name, DebtTokenBucket(it.rate, it.burst));
    std::vector<bool> within(requests.size());
    for (std::size_t i = 0; i < requests.size(); ++i) {
        const PlannedRequest &request = requests[i];
        DebtTokenBucket &bucket = buckets.at(request.account);
        within[i] = bucket.hasTokens(request.quotaCost(), request.at);
        if (outcomes[i].kind != RequestOutcome::Kind::Refused)
            bucket.charge(request.quotaCost(), request.at);
    }
    return within;
}

Json makeReport(const Experiment &experiment, const std::vector<PlannedRequest> &requests,
                const std::vector<RequestOutcome> &outcomes, const StandInRunSummary &summary)
{
    ReportBuilder builder(experiment, summary);
    const std::vector<bool> within = findWithinRate(experiment, requests, outcomes);
    for (std::size_t i = 0; i < requests.size(); ++i)
        builder.add(requests[i], outcomes[i], within[i]);
    return builder.toJson();
}

std::string describeReport(const Json &report)
{
    std::ostringstream text;
    text << "experiment " << report["experiment"] << ": " << report["sent"] << " requests, "
         << report["within_rate"] << " within their account's rate\n"
         << "attainment " << report["attainment"] << ", worst account "
         << report["worst_account_attainment"] << ", attained per accelerator and second "
         << report["attained_per_accelerator_s"] << "\n"
         << "refused within rate " << report["refused_within_rate"] << ", by kind "
         << report["refusals_within_rate"] << "; all refusals " << report["refusals"] << "\n"
         << "first token, ms " << report["first_token_ms"] << "; between tokens, ms "
         << report["between_tokens_ms"] << "\n"
         << "faults " << report["faults"] << "; incomplete by reason " << report["breaks"] << "\n"
         << "loads: models " << report["model_loads"] << ", adapters " << report["adapter_loads"]
         << "; overcommitted engines " << report["overcommitted_engines"]
         << "; unreachable stand-ins " << report["records_gone"] << "\n";
    for (const auto &[name, it] : report["accounts"].items())
        text << "  " << name << ": " << it << "\n";
    return text.str();
}

} // namespace quetzalyoke
