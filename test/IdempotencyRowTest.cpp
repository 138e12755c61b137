#include "Core/Requests/IdempotencyRow.h"

#include <gtest/gtest.h>

using namespace quetzalyoke;

namespace {

const WallTime noon{std::chrono::hours(12)};

IdempotencyRow makeRunningRow()
{
    IdempotencyRow row;
    row.attempt = AttemptId("first");
    row.fingerprint = Fingerprint("f");
    row.ownerDeadline = noon;
    return row;
}

} // namespace

TEST(IdempotencyRowTest, isUnchangedAfterJsonRoundTrip)
{
    IdempotencyRow row = makeRunningRow();
    row.state = IdempotencyRow::State::Done;
    row.response = {201, {{"X-Booking", "7"}}, std::string("\0\xff\"x", 4), false};
    const IdempotencyRow copy = IdempotencyRow::fromJson(row.toJson());
    EXPECT_EQ(copy.state, IdempotencyRow::State::Done);
    EXPECT_EQ(copy.response.body, row.response.body);
    EXPECT_EQ(copy.response.headers, row.response.headers);
    EXPECT_EQ(copy.ownerDeadline, noon);
}

TEST(IdempotencyRowTest, decidesResponseToARetriedRequest)
{
    IdempotencyRow row = makeRunningRow();
    const AttemptId other("second");
    const Fingerprint same("f");
    EXPECT_EQ(decideRepeat(row, same, other, noon), RepeatDecision::InProgress);
    EXPECT_EQ(decideRepeat(row, same, AttemptId("first"), noon), RepeatDecision::OwnRow);
    EXPECT_EQ(decideRepeat(row, Fingerprint("g"), other, noon), RepeatDecision::KeyReused);
    const WallTime later = noon + std::chrono::milliseconds(1);
    EXPECT_EQ(decideRepeat(row, same, other, later), RepeatDecision::OutcomeUnknown);
    row.state = IdempotencyRow::State::Done;
    EXPECT_EQ(decideRepeat(row, same, other, later), RepeatDecision::Replay);
}
