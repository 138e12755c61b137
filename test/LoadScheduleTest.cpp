#include "Apps/Load/CompletionStreamReader.h"
#include "Apps/Load/Report.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <iostream>

using namespace quetzalyoke;

namespace {

constexpr std::uint64_t seed = 7;

Experiment twoAccounts()
{
    const std::string text = "[experiment steady]\nseconds = 100\naccelerators = 2\nmodels = 4\n"
                             "[account small]\nrate_tokens_per_s = 1000\nburst_tokens = 10000\n"
                             "requests_per_minute = 60\nanswer_tokens = 8\n"
                             "[account large]\nrate_tokens_per_s = 100\nburst_tokens = 2000\n"
                             "requests_per_minute = 120\nprefix_tokens = 64\n"
                             "[burst large]\nfrom_s = 50\nuntil_s = 100\ntimes = 5\n";
    Problems problems;
    const Experiment experiment
        = Experiment::read(IniDocument::parse(text, "test", problems), problems);
    EXPECT_EQ(formatProblems(problems), "");
    return experiment;
}

RequestOutcome completed(std::chrono::milliseconds firstToken)
{
    RequestOutcome outcome;
    outcome.kind = RequestOutcome::Kind::Complete;
    outcome.timeToFirstToken = firstToken;
    outcome.totalLatency = firstToken;
    outcome.tokens = 1;
    return outcome;
}

} // namespace

TEST(LoadScheduleTest, SameSeedGivesTheSameRequests)
{
    std::cout << "seed " << seed << "\n";
    const auto first = planRequests(twoAccounts(), seed);
    const auto second = planRequests(twoAccounts(), seed);
    ASSERT_EQ(first.size(), second.size());
    for (std::size_t i = 0; i < first.size(); ++i) {
        EXPECT_EQ(first[i].at, second[i].at);
        EXPECT_EQ(first[i].body(), second[i].body());
    }
    EXPECT_NE(planRequests(twoAccounts(), seed + 1).front().at, first.front().at);
}

// All requests are served here, so the tokens within the rate of the account that exceeds it are
// limited by its rate and burst.
TEST(LoadScheduleTest, MarksRequestsBeyondTheRate)
{
    std::cout << "seed " << seed << "\n";
    const auto requests = planRequests(twoAccounts(), seed);
    const std::vector<RequestOutcome> outcomes(requests.size(),
                                               completed(std::chrono::milliseconds(1)));
    const auto within = findWithinRate(twoAccounts(), requests, outcomes);
    std::int64_t beyondSmall = 0;
    std::int64_t tokensLarge = 0;
    for (std::size_t i = 0; i < requests.size(); ++i) {
        if (requests[i].account.text() == "small")
            beyondSmall += within[i] ? 0 : 1;
        else if (within[i])
            tokensLarge += requests[i].quotaCost().count();
    }
    EXPECT_EQ(beyondSmall, 0);
    EXPECT_LE(tokensLarge, 2000 + 100 * 100);
    EXPECT_GT(tokensLarge, 1000); // a request that no longer fits leaves a part of the burst unused
}

// Requests served beyond the rate are charged too, so that a later refusal is correct.
TEST(LoadScheduleTest, ChargesRequestsServedBeyondTheRate)
{
    Experiment experiment = twoAccounts();
    experiment.accounts[0].rate = TokensPerSecond(100);
    experiment.accounts[0].burst = Tokens(100);
    std::vector<PlannedRequest> requests(4);
    for (PlannedRequest &it : requests) {
        it.account = AccountId("small");
        it.target = "model-1";
        it.outputTokens = 80;
    }
    requests[2].at = std::chrono::seconds(1);
    requests[3].at = std::chrono::seconds(3);
    const RequestOutcome served = completed(std::chrono::milliseconds(1));
    RequestOutcome refused;
    refused.kind = RequestOutcome::Kind::Refused;
    EXPECT_EQ(findWithinRate(experiment, requests, {served, served, refused, refused}),
              std::vector<bool>({true, false, false, true}));
}

// With two equal requests and a bucket for one of them, refusing either is right, but refusing both
// is wrong.
TEST(LoadScheduleTest, RefusalIsWrongOnlyIfTheBucketHadEnoughTokens)
{
    Experiment experiment = twoAccounts();
    experiment.accounts[0].rate = TokensPerSecond(1);
    std::vector<PlannedRequest> requests(2);
    for (PlannedRequest &it : requests) {
        it.account = AccountId("small");
        it.target = "model-1";
        it.outputTokens = 10;
    }
    experiment.accounts[0].burst = requests[0].quotaCost();
    const RequestOutcome served = completed(std::chrono::milliseconds(1));
    RequestOutcome refused;
    refused.kind = RequestOutcome::Kind::Refused;
    using Marks = std::vector<bool>;
    EXPECT_EQ(findWithinRate(experiment, requests, {served, refused}), Marks({true, false}));
    EXPECT_EQ(findWithinRate(experiment, requests, {refused, served}), Marks({true, true}));
    EXPECT_EQ(findWithinRate(experiment, requests, {refused, refused}), Marks({true, true}));
}

TEST(LoadScheduleTest, CountsLateAndRefusedRequestsAsNotAttained)
{
    const Experiment experiment = twoAccounts();
    std::vector<PlannedRequest> requests(5);
    for (PlannedRequest &it : requests) {
        it.account = AccountId("small");
        it.target = "model-1";
    }
    requests[3].outputTokens = 20'000; // more than the burst
    requests[4].outputTokens = 20'000;
    RequestOutcome refused;
    refused.kind = RequestOutcome::Kind::Refused;
    refused.failureReason = "no_server";
    const std::vector<RequestOutcome> outcomes{completed(std::chrono::milliseconds(930)),
                                               completed(std::chrono::milliseconds(931)), refused,
                                               refused};
    const auto report = makeReport(experiment, requests, outcomes, {});
    EXPECT_EQ(report["attained"], 1);
    EXPECT_EQ(report["within_rate"], 3);
    EXPECT_EQ(report["refused_within_rate"], 1);
    EXPECT_EQ(report["refusals"]["no_server"], 2);
}

TEST(LoadScheduleTest, FindsDuplicateAndLostBookingsAndFalseNotRunRefusals)
{
    std::vector<PlannedRequest> requests(3);
    for (PlannedRequest &it : requests)
        it.account = AccountId("small");
    std::vector<RequestOutcome> outcomes(3, completed(std::chrono::milliseconds(1)));
    outcomes[0].requestId = "doubled";
    outcomes[1].requestId = "lost";
    outcomes[2].requestId = "untrue";
    outcomes[2].kind = RequestOutcome::Kind::Refused;
    outcomes[2].runState = "not-run";
    StandInRunSummary summary;
    summary.runsByRequest = {{"doubled", 2}, {"untrue", 1}};
    const auto faults = makeReport(twoAccounts(), requests, outcomes, summary)["faults"];
    EXPECT_EQ(faults["doubled_bookings"], 1);
    EXPECT_EQ(faults["lost_bookings"], 1);
    EXPECT_EQ(faults["untrue_refusals"], 1);
}

TEST(LoadScheduleTest, DetectsAResponseThatBelongsToAnotherRequest)
{
    CompletionStreamReader matching("0a-");
    matching.parse("data: {\"text\":\"0a-0 \"}\n\ndata: {\"te", Instant());
    matching.parse("xt\":\"0a-1 \"}\n\ndata: [DONE]\n\n", Instant());
    EXPECT_TRUE(matching.isEnded());
    EXPECT_FALSE(matching.isMismatched());
    EXPECT_EQ(matching.tokens(), 2);
    CompletionStreamReader mismatched("0a-");
    mismatched.parse("data: {\"text\":\"0b-0 \"}\n", Instant());
    EXPECT_TRUE(mismatched.isMismatched());
}
