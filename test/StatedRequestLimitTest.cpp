#include "Serving/Servers/StatedRequestLimit.h"

#include <gtest/gtest.h>

using namespace quetzalyoke;
using namespace std::chrono_literals;

namespace {

const Instant start{1000s};
const RequestRate one(1);
const RequestRate two(2);

} // namespace

TEST(StatedRequestLimitTest, endsWithAResponseToALaterRequestOnly)
{
    StatedRequestLimit limit;
    EXPECT_FALSE(limit.recordResponse({}, start, start + 10ms));
    EXPECT_TRUE(limit.recordResponse(one, start, start + 20ms));
    // This response may have been sent before the limit was stated.
    EXPECT_FALSE(limit.recordResponse({}, start + 10ms, start + 30ms));
    EXPECT_EQ(limit.limit(), one);
    EXPECT_TRUE(limit.recordResponse({}, start + 30ms, start + 40ms));
    EXPECT_FALSE(limit.limit());
}

TEST(StatedRequestLimitTest, isRaisedByAResponseToALaterRequestAndLoweredByAny)
{
    StatedRequestLimit limit;
    limit.recordResponse(one, start, start + 20ms);
    EXPECT_FALSE(limit.recordResponse(two, start + 10ms, start + 30ms));
    EXPECT_TRUE(limit.recordResponse(two, start + 30ms, start + 40ms));
    EXPECT_TRUE(limit.recordResponse(one, start, start + 50ms));
    EXPECT_EQ(limit.limit(), one);
}

TEST(StatedRequestLimitTest, prefersThePeerThatHasSeenMoreAndTheLowerLimit)
{
    StatedRequestLimit limit;
    EXPECT_TRUE(limit.applyPeerLimit(two, 1, start));
    EXPECT_FALSE(limit.applyPeerLimit({}, 1, start));
    EXPECT_TRUE(limit.applyPeerLimit(one, 1, start));
    EXPECT_TRUE(limit.applyPeerLimit({}, 3, start));
    EXPECT_FALSE(limit.applyPeerLimit(one, 2, start));
    EXPECT_FALSE(limit.limit());
    EXPECT_EQ(limit.version(), 3);
}
