#include "Core/Requests/IdempotencyRow.h"

#include <gtest/gtest.h>

using namespace quetzalyoke;

namespace {

const WallTime noon{std::chrono::hours(12)};

IdempotencyRow runningRecord()
{
    IdempotencyRow record;
    record.attempt = AttemptId("first");
    record.fingerprint = Fingerprint("f");
    record.ownerDeadline = noon;
    return record;
}

} // namespace

TEST(IdempotencyRowTest, survivesItsTextForm)
{
    IdempotencyRow record = runningRecord();
    record.state = IdempotencyRow::State::Done;
    record.response = {201, {{"X-Booking", "7"}}, std::string("\0\xff\"x", 4), false};
    const IdempotencyRow copy = IdempotencyRow::fromJson(record.toJson());
    EXPECT_EQ(copy.state, IdempotencyRow::State::Done);
    EXPECT_EQ(copy.response.body, record.response.body);
    EXPECT_EQ(copy.response.headers, record.response.headers);
    EXPECT_EQ(copy.ownerDeadline, noon);
}

TEST(IdempotencyRowTest, decidesWhatARepeatGets)
{
    IdempotencyRow record = runningRecord();
    const AttemptId other("second");
    const Fingerprint same("f");
    EXPECT_EQ(decideRepeat(record, same, other, noon), RepeatDecision::InProgress);
    EXPECT_EQ(decideRepeat(record, same, AttemptId("first"), noon), RepeatDecision::OwnRow);
    EXPECT_EQ(decideRepeat(record, Fingerprint("g"), other, noon), RepeatDecision::KeyReused);
    const WallTime later = noon + std::chrono::milliseconds(1);
    EXPECT_EQ(decideRepeat(record, same, other, later), RepeatDecision::OutcomeUnknown);
    record.state = IdempotencyRow::State::Done;
    EXPECT_EQ(decideRepeat(record, same, other, later), RepeatDecision::Replay);
}
