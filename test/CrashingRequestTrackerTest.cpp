#include "Core/Requests/CrashingRequestTracker.h"

#include <gtest/gtest.h>

using namespace quetzalyoke;

namespace {

const Fingerprint fingerprint("f");
const Instant start{};

} // namespace

TEST(CrashingRequestTrackerTest, refusesAfterTwoCrashes)
{
    CrashingRequestTracker ledger{CrashingRequestTracker::Limits()};
    EXPECT_EQ(ledger.decide(fingerprint, start), CrashingRequestTracker::Decision::Allow);
    ledger.add({fingerprint, {"a/1"}}, start);
    EXPECT_EQ(ledger.decide(fingerprint, start), CrashingRequestTracker::Decision::RunAlone);
    ledger.add({fingerprint, {"b/1"}}, start);
    EXPECT_EQ(ledger.decide(fingerprint, start), CrashingRequestTracker::Decision::Refuse);
    EXPECT_EQ(ledger.decide(Fingerprint("other"), start), CrashingRequestTracker::Decision::Allow);
}

TEST(CrashingRequestTrackerTest, countsAnIncidentOnceHoweverOftenItIsTold)
{
    CrashingRequestTracker ledger{CrashingRequestTracker::Limits()};
    for (int i = 0; i < 5; ++i)
        ledger.add({fingerprint, {"a/1"}}, start);
    EXPECT_EQ(ledger.decide(fingerprint, start), CrashingRequestTracker::Decision::RunAlone);
}

TEST(CrashingRequestTrackerTest, forgetsEvenWhileInstancesRepeatTheSameIncidents)
{
    const CrashingRequestTracker::Limits limits;
    CrashingRequestTracker ledger{limits};
    ledger.add({fingerprint, {"a/1", "b/1"}}, start);
    ledger.add({fingerprint, {"a/1", "b/1"}}, start + limits.retention / 2);
    EXPECT_EQ(ledger.decide(fingerprint, start + limits.retention),
              CrashingRequestTracker::Decision::Allow);
}

TEST(CrashingRequestTrackerTest, staysWithinItsBound)
{
    CrashingRequestTracker::Limits limits;
    limits.maxFingerprints = 10;
    CrashingRequestTracker ledger{limits};
    for (int i = 0; i < 100; ++i) {
        const Instant now = start + std::chrono::seconds(i);
        ledger.add({Fingerprint(std::to_string(i)), {"a"}}, now);
    }
    const Instant end = start + std::chrono::seconds(100);
    EXPECT_EQ(ledger.suspicions(end).size(), limits.maxFingerprints);
    EXPECT_EQ(ledger.decide(Fingerprint("99"), end), CrashingRequestTracker::Decision::RunAlone);
}
