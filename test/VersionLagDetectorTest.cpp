#include "Serving/State/VersionLagDetector.h"

#include <gtest/gtest.h>

using namespace quetzalyoke;
using namespace std::chrono_literals;

namespace {

const Instant start{1h};

StateVersions versions(std::int64_t config, std::int64_t servers)
{
    return {Version(config), Version(servers)};
}

} // namespace

// Entries change ten times a second; each change comes 100 ms after a peer has it.
TEST(VersionLagDetectorTest, keepsStillWhileEveryVersionComesInTime)
{
    VersionLagDetector watch(300ms);
    for (int i = 1; i <= 100; ++i)
        EXPECT_FALSE(watch.isOverdue(versions(1, i - 1), versions(1, i), start + i * 100ms)) << i;
}

TEST(VersionLagDetectorTest, tellsOfAVersionThatDoesNotCome)
{
    VersionLagDetector watch(300ms);
    int overdue = 0;
    // A configuration stays away while servers go on coming.
    for (int i = 1; i <= 9; ++i)
        overdue += watch.isOverdue(versions(1, i), versions(2, i), start + i * 100ms) ? 1 : 0;
    EXPECT_EQ(overdue, 2); // 300 ms after each time that it was seen missing
    EXPECT_FALSE(watch.isOverdue(versions(2, 10), versions(2, 10), start + 1s));
}

TEST(VersionLagDetectorTest, waitsAnewForALaterVersion)
{
    VersionLagDetector watch(300ms);
    EXPECT_FALSE(watch.isOverdue(versions(1, 1), versions(1, 2), start));
    EXPECT_FALSE(watch.isOverdue(versions(1, 2), versions(1, 3), start + 400ms));
    EXPECT_TRUE(watch.isOverdue(versions(1, 2), versions(1, 4), start + 700ms));
}
