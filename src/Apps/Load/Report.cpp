#include "Apps/Load/Report.h"

#include "Apps/Load/Percentiles.h"
#include "Apps/Load/ServedBucket.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <sstream>

namespace quetzalyoke {

namespace {

using Json = nlohmann::json;

// Counts of one account's model requests.
struct AccountTally
{
    std::int64_t sent = 0;
    std::int64_t within = 0; // their account's rate and burst
    std::int64_t attained = 0; // of those within
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

// What is wrong with the answers, whatever their speed.
struct FaultTally
{
    std::int64_t broken = 0; // no final answer
    std::int64_t foreign = 0; // another request's answer
    std::int64_t runTwice = 0; // model requests that ran more than once
    std::int64_t doubledBookings = 0;
    std::int64_t lostBookings = 0; // answered as done, but not in any record
    std::int64_t untrueRefusals = 0; // "not-run", but in a record

    Json toJson() const
    {
        return {{"broken", broken},
                {"foreign", foreign},
                {"run_twice", runTwice},
                {"doubled_bookings", doubledBookings},
                {"lost_bookings", lostBookings},
                {"untrue_refusals", untrueRefusals}};
    }
};

class Tally
{
public:
    Tally(const Experiment &experiment, const RunRecord &record)
        : m_experiment(experiment), m_record(record)
    { }

    void add(const PlannedRequest &request, const Outcome &outcome, bool within)
    {
        addFaults(request, outcome);
        if (outcome.kind == Outcome::Kind::Refused) {
            ++m_refusals[outcome.refusal];
            if (within)
                ++m_refusalsWithin[outcome.refusal];
        } else if (outcome.kind == Outcome::Kind::Broken) {
            ++m_breaks[outcome.refusal];
        }
        if (!request.isBooking())
            addModelRequest(request, outcome, within);
    }

    Json toJson() const
    {
        AccountTally total;
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
        const double seconds = std::chrono::duration<double>(m_experiment.length).count();
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
        report["model_loads"] = m_record.modelLoads;
        report["adapter_loads"] = m_record.adapterLoads;
        report["overcommitted_engines"] = m_record.overcommitted;
        report["records_gone"] = m_record.unreachable;
        return report;
    }

private:
    void addFaults(const PlannedRequest &request, const Outcome &outcome)
    {
        const auto it = m_record.runs.find(outcome.requestId);
        const std::int64_t runs = it == m_record.runs.end() ? 0 : it->second;
        if (outcome.kind == Outcome::Kind::Broken)
            ++m_faults.broken;
        if (outcome.kind == Outcome::Kind::Foreign)
            ++m_faults.foreign;
        if (outcome.runState == "not-run" && runs > 0 && !outcome.requestId.empty())
            ++m_faults.untrueRefusals;
        if (runs > 1)
            ++(request.isBooking() ? m_faults.doubledBookings : m_faults.runTwice);
        // A stand-in that is gone took its record along.
        if (request.isBooking() && outcome.kind == Outcome::Kind::Whole && runs == 0
            && m_record.unreachable == 0)
            ++m_faults.lostBookings;
    }

    void addModelRequest(const PlannedRequest &request, const Outcome &outcome, bool within)
    {
        AccountTally &account = m_accounts[request.account];
        ++account.sent;
        if (outcome.kind == Outcome::Kind::Whole) {
            m_firstToken.add(outcome.firstToken);
            m_betweenTokens.add(outcome.betweenTokens());
        }
        if (!within)
            return;
        ++account.within;
        if (outcome.kind == Outcome::Kind::Refused)
            ++account.refusedWithin;
        if (outcome.kind == Outcome::Kind::Whole
            && outcome.firstToken <= m_experiment.firstTokenLimit
            && outcome.betweenTokens() <= m_experiment.betweenTokensLimit)
            ++account.attained;
    }

    const Experiment &m_experiment;
    const RunRecord &m_record;
    std::map<AccountId, AccountTally> m_accounts;
    std::map<std::string, std::int64_t> m_refusals;
    std::map<std::string, std::int64_t> m_refusalsWithin;
    std::map<std::string, std::int64_t> m_breaks;
    FaultTally m_faults;
    Percentiles m_firstToken;
    Percentiles m_betweenTokens;
};

} // namespace

// An account that sends more than its rate isn't entitled to one request rather than another, only
// to as much. So the bucket is charged with what was served, not with what a bucket of its own
// would have chosen; a refused request is not charged.
std::vector<bool> findWithinRate(const Experiment &experiment,
                                 const std::vector<PlannedRequest> &requests,
                                 const std::vector<Outcome> &outcomes)
{
    std::map<AccountId, ServedBucket> buckets;
    for (const AccountDemand &it : experiment.accounts)
        buckets.emplace(it.name, ServedBucket(it.rate, it.burst));
    std::vector<bool> within(requests.size());
    for (std::size_t i = 0; i < requests.size(); ++i) {
        const PlannedRequest &request = requests[i];
        ServedBucket &bucket = buckets.at(request.account);
        within[i] = bucket.hasRoom(request.charge(), request.at);
        if (outcomes[i].kind != Outcome::Kind::Refused)
            bucket.charge(request.charge(), request.at);
    }
    return within;
}

Json makeReport(const Experiment &experiment, const std::vector<PlannedRequest> &requests,
                const std::vector<Outcome> &outcomes, const RunRecord &record)
{
    Tally tally(experiment, record);
    const std::vector<bool> within = findWithinRate(experiment, requests, outcomes);
    for (std::size_t i = 0; i < requests.size(); ++i)
        tally.add(requests[i], outcomes[i], within[i]);
    return tally.toJson();
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
         << "faults " << report["faults"] << "; broken by " << report["breaks"] << "\n"
         << "loads: models " << report["model_loads"] << ", adapters " << report["adapter_loads"]
         << "; overcommitted engines " << report["overcommitted_engines"] << "; records gone "
         << report["records_gone"] << "\n";
    for (const auto &[name, it] : report["accounts"].items())
        text << "  " << name << ": " << it << "\n";
    return text.str();
}

} // namespace quetzalyoke
