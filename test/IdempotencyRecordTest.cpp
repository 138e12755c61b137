#include "Core/Requests/IdempotencyRecord.h"

#include <gtest/gtest.h>

using namespace quetzalyoke;

namespace {

const WallTime noon{std::chrono::hours(12)};

IdempotencyRecord runningRecord()
{
    IdempotencyRecord record;
    record.attempt = AttemptId("first");
    record.fingerprint = Fingerprint("f");
    record.ownerEnds = noon;
    return record;
}

} // namespace

TEST(IdempotencyRecordTest, survivesItsTextForm)
{
    IdempotencyRecord record = runningRecord();
    record.state = IdempotencyRecord::State::Done;
    record.answer = {201, {{"X-Booking", "7"}}, std::string("\0\xff\"x", 4), false};
    const IdempotencyRecord copy = IdempotencyRecord::fromJson(record.toJson());
    EXPECT_EQ(copy.state, IdempotencyRecord::State::Done);
    EXPECT_EQ(copy.answer.body, record.answer.body);
    EXPECT_EQ(copy.answer.headers, record.answer.headers);
    EXPECT_EQ(copy.ownerEnds, noon);
}

TEST(IdempotencyRecordTest, decidesWhatARepeatGets)
{
    IdempotencyRecord record = runningRecord();
    const AttemptId other("second");
    const Fingerprint same("f");
    EXPECT_EQ(decideRepeat(record, same, other, noon), RepeatDecision::InProgress);
    EXPECT_EQ(decideRepeat(record, same, AttemptId("first"), noon), RepeatDecision::Mine);
    EXPECT_EQ(decideRepeat(record, Fingerprint("g"), other, noon), RepeatDecision::KeyReused);
    const WallTime later = noon + std::chrono::milliseconds(1);
    EXPECT_EQ(decideRepeat(record, same, other, later), RepeatDecision::Unknown);
    record.state = IdempotencyRecord::State::Done;
    EXPECT_EQ(decideRepeat(record, same, other, later), RepeatDecision::Replay);
}
