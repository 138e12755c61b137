#include "Core/Requests/CrashingRequestTracker.h"

#include <gtest/gtest.h>

using namespace quetzalyoke;

namespace {

const Fingerprint fingerprint("f");
const Instant start{};

} // namespace

TEST(CrashingRequestTrackerTest, refusesAfterTwoCrashes)
{
    CrashingRequestTracker tracker{CrashingRequestTracker::Limits()};
    EXPECT_EQ(tracker.decide(fingerprint, start), CrashingRequestTracker::Decision::Allow);
    tracker.add({fingerprint, {"a/1"}}, start);
    EXPECT_EQ(tracker.decide(fingerprint, start), CrashingRequestTracker::Decision::RunAlone);
    tracker.add({fingerprint, {"b/1"}}, start);
    EXPECT_EQ(tracker.decide(fingerprint, start), CrashingRequestTracker::Decision::Refuse);
    EXPECT_EQ(tracker.decide(Fingerprint("other"), start), CrashingRequestTracker::Decision::Allow);
}

TEST(CrashingRequestTrackerTest, countsADuplicateIncidentOnce)
{
    CrashingRequestTracker tracker{CrashingRequestTracker::Limits()};
    for (int i = 0; i < 5; ++i)
        tracker.add({fingerprint, {"a/1"}}, start);
    EXPECT_EQ(tracker.decide(fingerprint, start), CrashingRequestTracker::Decision::RunAlone);
}

TEST(CrashingRequestTrackerTest, expiresEvenIfTheSameIncidentsAreReceivedAgain)
{
    const CrashingRequestTracker::Limits limits;
    CrashingRequestTracker tracker{limits};
    tracker.add({fingerprint, {"a/1", "b/1"}}, start);
    tracker.add({fingerprint, {"a/1", "b/1"}}, start + limits.retention / 2);
    EXPECT_EQ(tracker.decide(fingerprint, start + limits.retention),
              CrashingRequestTracker::Decision::Allow);
}

TEST(CrashingRequestTrackerTest, keepsAtMostMaxFingerprints)
{
    CrashingRequestTracker::Limits limits;
    limits.maxFingerprints = 10;
    CrashingRequestTracker tracker{limits};
    for (int i = 0; i < 100; ++i) {
        const Instant now = start + std::chrono::seconds(i);
        tracker.add({Fingerprint(std::to_string(i)), {"a"}}, now);
    }
    const Instant end = start + std::chrono::seconds(100);
    EXPECT_EQ(tracker.suspicions(end).size(), limits.maxFingerprints);
    EXPECT_EQ(tracker.decide(Fingerprint("99"), end), CrashingRequestTracker::Decision::RunAlone);
}
