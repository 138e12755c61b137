#include "Core/Accounts/TokenBucket.h"

#include <gtest/gtest.h>

using namespace quetzalyoke;

TEST(TokenBucketTest, allowsBurstThenRate)
{
    const Instant start{};
    TokenBucket bucket(TokensPerSecond(10), Tokens(20), start);
    EXPECT_TRUE(bucket.tryConsume(Tokens(20), start));
    EXPECT_FALSE(bucket.tryConsume(Tokens(1), start));
    EXPECT_EQ(bucket.timeUntilAvailable(Tokens(1), start), std::chrono::milliseconds(100));
    EXPECT_FALSE(bucket.tryConsume(Tokens(1), start + std::chrono::milliseconds(99)));
    EXPECT_TRUE(bucket.tryConsume(Tokens(1), start + std::chrono::milliseconds(100)));
}

TEST(TokenBucketTest, neverHoldsMoreThanBurst)
{
    const Instant start{};
    TokenBucket bucket(TokensPerSecond(10), Tokens(20), start);
    EXPECT_EQ(bucket.level(start + std::chrono::hours(24 * 365)), Tokens(20));
    EXPECT_EQ(bucket.timeUntilAvailable(Tokens(21), start), Duration::max());
}
