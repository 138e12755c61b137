#include "Apps/Agent/AttemptTable.h"

#include "Adapters/Process.h"

#include <gtest/gtest.h>

using namespace quetzalyoke;

namespace {

const AttemptTable::Limits limits{16, 4096, std::chrono::seconds(60)};
constexpr std::chrono::milliseconds noWait{0};

wire::Submission makeSubmission(const std::string &id, bool idempotent)
{
    wire::Submission submission;
    submission.attemptId = id;
    submission.idempotent = idempotent;
    submission.deadlineMillis = 60'000;
    submission.agentIncarnation = Process::incarnation().count();
    return submission;
}

// Submits and runs one attempt, and fetches its response.
void complete(AttemptTable &table, const wire::Submission &submission, Instant now)
{
    const auto admission = table.submit(submission, now);
    const auto attempt = table.dequeue(noWait);
    ASSERT_EQ(attempt, admission.attempt);
    attempt->tryStart();
    attempt->append("booked", 6, 0);
    attempt->complete(now);
    table.onAttemptEnded(attempt, now);
    EXPECT_EQ(attempt->fetch(0, noWait).data, "booked");
}

} // namespace

TEST(AttemptTableTest, removesADeliveredIdempotentAttemptSoonAndRetainsANonIdempotentOne)
{
    AttemptTable table(limits, makeFifoQueue());
    const Instant now = Process::now();
    complete(table, makeSubmission("repeatable", true), now);
    complete(table, makeSubmission("booking", false), now);
    table.removeExpired(now + AttemptTable::deliveredRetention - Duration(1));
    EXPECT_TRUE(table.find("repeatable"));
    table.removeExpired(now + AttemptTable::deliveredRetention);
    EXPECT_FALSE(table.find("repeatable"));
    ASSERT_TRUE(table.find("booking"));
    EXPECT_EQ(table.find("booking")->fetch(0, noWait).data, "booked");
    table.removeExpired(now + limits.finishedRetention);
    EXPECT_FALSE(table.find("booking"));
}

TEST(AttemptTableTest, neverRunsAnAttemptIdAgain)
{
    AttemptTable table(limits, makeFifoQueue());
    const Instant now = Process::now();
    complete(table, makeSubmission("booking", false), now);
    table.removeExpired(now + limits.finishedRetention);
    const auto again
        = table.submit(makeSubmission("booking", false), now + limits.finishedRetention);
    EXPECT_FALSE(again.attempt);
    EXPECT_EQ(again.refusal, wire::ErrorCode::UnknownAttempt);
}

TEST(AttemptTableTest, refusesASubmissionForAnEarlierIncarnation)
{
    AttemptTable table(limits, makeFifoQueue());
    wire::Submission submission = makeSubmission("late", true);
    submission.agentIncarnation -= 1;
    EXPECT_EQ(table.submit(submission, Process::now()).refusal, wire::ErrorCode::AgentRestarted);
}

TEST(AttemptTableTest, neverRunsAnIdThatWasCancelledBeforeItArrived)
{
    AttemptTable table(limits, makeFifoQueue());
    const Instant now = Process::now();
    EXPECT_EQ(table.cancel("late", now), wire::RunState::NotRun);
    EXPECT_FALSE(table.submit(makeSubmission("late", true), now).attempt);
}

TEST(AttemptTableTest, runsASuspectedRequestAlone)
{
    AttemptTable table(limits, makeFifoQueue());
    const Instant now = Process::now();
    table.submit(makeSubmission("healthy", true), now);
    const auto healthy = table.dequeue(noWait);
    wire::Submission suspect = makeSubmission("suspect", true);
    suspect.runAlone = true;
    table.submit(suspect, now);
    table.submit(makeSubmission("next", true), now);
    EXPECT_FALSE(table.dequeue(noWait));
    healthy->complete(now);
    table.onAttemptEnded(healthy, now);
    const auto alone = table.dequeue(noWait);
    ASSERT_TRUE(alone);
    EXPECT_EQ(alone->submission().attemptId, "suspect");
    EXPECT_FALSE(table.dequeue(noWait));
    alone->complete(now);
    table.onAttemptEnded(alone, now);
    EXPECT_TRUE(table.dequeue(noWait));
}
