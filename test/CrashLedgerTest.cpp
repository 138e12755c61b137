#include "Core/Requests/CrashLedger.h"

#include <gtest/gtest.h>

using namespace quetzalyoke;

namespace {

const Fingerprint fingerprint("f");
const Instant start{};

} // namespace

TEST(CrashLedgerTest, refusesAfterTwoCrashes)
{
    CrashLedger ledger{CrashLedger::Limits()};
    EXPECT_EQ(ledger.verdict(fingerprint, start), CrashLedger::Verdict::Clear);
    ledger.add({fingerprint, {"a/1"}}, start);
    EXPECT_EQ(ledger.verdict(fingerprint, start), CrashLedger::Verdict::RunAlone);
    ledger.add({fingerprint, {"b/1"}}, start);
    EXPECT_EQ(ledger.verdict(fingerprint, start), CrashLedger::Verdict::Refuse);
    EXPECT_EQ(ledger.verdict(Fingerprint("other"), start), CrashLedger::Verdict::Clear);
}

TEST(CrashLedgerTest, countsAnIncidentOnceHoweverOftenItIsTold)
{
    CrashLedger ledger{CrashLedger::Limits()};
    for (int i = 0; i < 5; ++i)
        ledger.add({fingerprint, {"a/1"}}, start);
    EXPECT_EQ(ledger.verdict(fingerprint, start), CrashLedger::Verdict::RunAlone);
}

TEST(CrashLedgerTest, forgetsEvenWhileInstancesRepeatTheSameIncidents)
{
    const CrashLedger::Limits limits;
    CrashLedger ledger{limits};
    ledger.add({fingerprint, {"a/1", "b/1"}}, start);
    ledger.add({fingerprint, {"a/1", "b/1"}}, start + limits.memory / 2);
    EXPECT_EQ(ledger.verdict(fingerprint, start + limits.memory), CrashLedger::Verdict::Clear);
}

TEST(CrashLedgerTest, staysWithinItsBound)
{
    CrashLedger::Limits limits;
    limits.fingerprints = 10;
    CrashLedger ledger{limits};
    for (int i = 0; i < 100; ++i) {
        const Instant now = start + std::chrono::seconds(i);
        ledger.add({Fingerprint(std::to_string(i)), {"a"}}, now);
    }
    const Instant end = start + std::chrono::seconds(100);
    EXPECT_EQ(ledger.suspicions(end).size(), limits.fingerprints);
    EXPECT_EQ(ledger.verdict(Fingerprint("99"), end), CrashLedger::Verdict::RunAlone);
}
