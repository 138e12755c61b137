#include "Serving/State/StoreReaderElection.h"

#include <gtest/gtest.h>

using namespace quetzalyoke;
using namespace std::chrono_literals;

namespace {

const Instant start{1h};
const ZoneName east("east");

GatewayCandidate peer(const char *name, const ZoneName &zone = east, bool followsStore = true,
                      double processorShare = 0.2)
{
    return {InstanceId(name), zone, true, followsStore, processorShare};
}

StoreReaderElection election(const char *self)
{
    return {StoreReaderElection::Settings(), InstanceId(self), east, 0.2};
}

} // namespace

TEST(StoreReaderElectionTest, readsTheStoreInASmallZone)
{
    EXPECT_FALSE(election("b").reader({peer("a"), peer("0", ZoneName("west"))}, start));
}

TEST(StoreReaderElectionTest, readsFromTheFirstGatewayOfItsZone)
{
    const auto reader = election("c").reader({peer("a"), peer("b")}, start);
    ASSERT_TRUE(reader);
    EXPECT_EQ(*reader, InstanceId("a"));
    EXPECT_FALSE(election("a").reader({peer("b"), peer("c")}, start));
}

TEST(StoreReaderElectionTest, readsTheStoreItselfIfItsReaderCannot)
{
    EXPECT_FALSE(election("c").reader({peer("a", east, false), peer("b")}, start));
    StoreReaderElection afterFailure = election("c");
    afterFailure.recordFailure(InstanceId("a"), start);
    EXPECT_FALSE(afterFailure.reader({peer("a"), peer("b")}, start + 1s));
    EXPECT_TRUE(afterFailure.reader({peer("a"), peer("b")}, start + 6s));
}

TEST(StoreReaderElectionTest, prefersALargerInstance)
{
    const auto reader = election("a").reader({peer("b"), peer("c", east, true, 0.5)}, start);
    ASSERT_TRUE(reader);
    EXPECT_EQ(*reader, InstanceId("c"));
}
