#include "Serving/State/ReaderElection.h"

#include <gtest/gtest.h>

using namespace quetzalyoke;
using namespace std::chrono_literals;

namespace {

const Instant start{1h};
const ZoneName east("east");

ReaderCandidate peer(const char *name, const ZoneName &zone = east, bool followsStore = true,
                     double processorShare = 0.2)
{
    return {InstanceId(name), zone, true, followsStore, processorShare};
}

ReaderElection election(const char *self)
{
    return {ReaderElection::Settings(), InstanceId(self), east, 0.2};
}

} // namespace

TEST(ReaderElectionTest, readsTheStoreInASmallZone)
{
    EXPECT_FALSE(election("b").reader({peer("a"), peer("0", ZoneName("west"))}, start));
}

TEST(ReaderElectionTest, readsFromTheFirstGatewayOfItsZone)
{
    const auto reader = election("c").reader({peer("a"), peer("b")}, start);
    ASSERT_TRUE(reader);
    EXPECT_EQ(*reader, InstanceId("a"));
    EXPECT_FALSE(election("a").reader({peer("b"), peer("c")}, start));
}

TEST(ReaderElectionTest, readsTheStoreItselfWhereItsReaderCannot)
{
    EXPECT_FALSE(election("c").reader({peer("a", east, false), peer("b")}, start));
    ReaderElection distrustful = election("c");
    distrustful.noteFailure(InstanceId("a"), start);
    EXPECT_FALSE(distrustful.reader({peer("a"), peer("b")}, start + 1s));
    EXPECT_TRUE(distrustful.reader({peer("a"), peer("b")}, start + 6s));
}

TEST(ReaderElectionTest, prefersALargerInstance)
{
    const auto reader = election("a").reader({peer("b"), peer("c", east, true, 0.5)}, start);
    ASSERT_TRUE(reader);
    EXPECT_EQ(*reader, InstanceId("c"));
}
