#include "Serving/State/VersionLagDetector.h"

#include <gtest/gtest.h>

using namespace quetzalyoke;
using namespace std::chrono_literals;

namespace {

const Instant start{1h};

// Of tables whose rows differ between any two versions.
StateVersions versions(std::int64_t operators, std::int64_t servers)
{
    return {{Version(operators), static_cast<std::uint64_t>(operators)},
            {Version(servers), static_cast<std::uint64_t>(servers)}};
}

} // namespace

// Entries change ten times a second, and each change arrives 100 ms after a peer has it. No version
// is overdue, although a peer is always ahead.
TEST(VersionLagDetectorTest, reportsNothingWhileEveryVersionArrivesInTime)
{
    VersionLagDetector detector(300ms);
    for (int i = 1; i <= 100; ++i)
        EXPECT_FALSE(detector.isOverdue(versions(1, i - 1), versions(1, i), start + i * 100ms))
            << i;
}

TEST(VersionLagDetectorTest, reportsAVersionThatDoesNotArrive)
{
    VersionLagDetector detector(300ms);
    int overdue = 0;
    // A configuration doesn't arrive while entries of servers still do.
    for (int i = 1; i <= 9; ++i)
        overdue += detector.isOverdue(versions(1, i), versions(2, i), start + i * 100ms) ? 1 : 0;
    EXPECT_EQ(overdue, 2); // 300 ms after each time that its lack was detected
    EXPECT_FALSE(detector.isOverdue(versions(2, 10), versions(2, 10), start + 1s));
}

TEST(VersionLagDetectorTest, restartsTheWaitForALaterVersion)
{
    VersionLagDetector detector(300ms);
    EXPECT_FALSE(detector.isOverdue(versions(1, 1), versions(1, 2), start));
    EXPECT_FALSE(detector.isOverdue(versions(1, 2), versions(1, 3), start + 400ms));
    EXPECT_TRUE(detector.isOverdue(versions(1, 2), versions(1, 4), start + 700ms));
}

// The store's version rises with each change of any table.
TEST(VersionLagDetectorTest, takesTablesWithTheSameRowsForTheSame)
{
    VersionLagDetector detector(300ms);
    StateVersions newest = versions(1, 1);
    newest.servers.version = Version(9);
    for (int i = 1; i <= 9; ++i)
        EXPECT_FALSE(detector.isOverdue(versions(1, 1), newest, start + i * 100ms)) << i;
}
