#include "Apps/Gateway/ConfirmedCommit.h"
#include "Core/Error.h"

#include <gtest/gtest.h>

#include <iostream>
#include <random>

using namespace quetzalyoke;

namespace {

// A table with one row that loses writes before, or responses after, a write takes effect.
class LossyTable : public TableStore
{
public:
    enum class Fault { None, LostBefore, LostAfter, Outage, Late };

    std::optional<TableRow> read(const std::string &) override
    {
        applyLateWrite();
        return row;
    }
    std::vector<TableRow> scan(const std::string &, Version) override { return {}; }
    std::optional<Version> commit(const std::vector<ConditionalWrite> &writes) override
    {
        const Fault fault = faults.empty() ? Fault::None : faults.front();
        if (!faults.empty())
            faults.erase(faults.begin());
        if (fault == Fault::Outage)
            throw Error(ErrorKind::PlatformUnavailable, "out");
        if (fault == Fault::LostBefore)
            throw Error(ErrorKind::OutcomeUnknown, "lost");
        if (fault == Fault::Late) {
            lateWrite = writes.front();
            throw Error(ErrorKind::OutcomeUnknown, "lost");
        }
        const auto version = put(writes.front());
        if (fault == Fault::LostAfter)
            throw Error(ErrorKind::OutcomeUnknown, "lost");
        applyLateWrite();
        return version;
    }
    std::optional<Version> put(const ConditionalWrite &write)
    {
        const Version current = row ? row->version : Version(0);
        if (current != *write.expected)
            return std::nullopt;
        row = TableRow{write.key, *write.value, current + Version(1)};
        ++appliedWrites;
        return row->version;
    }
    // Applies a write that arrives late, after its response was reported as lost.
    void applyLateWrite()
    {
        if (lateWrite)
            put(*std::exchange(lateWrite, std::nullopt));
    }

    std::vector<Fault> faults;
    std::optional<TableRow> row;
    std::optional<ConditionalWrite> lateWrite;
    int appliedWrites = 0;
};

using Fault = LossyTable::Fault;

const ConditionalWrite ownWrite{"row", "own", Version(0)};

} // namespace

TEST(ConfirmedCommitTest, determinesTheOutcomeOfAWriteWithALostResponse)
{
    for (const auto &faults : std::vector<std::vector<Fault>>{{Fault::LostBefore},
                                                              {Fault::LostAfter},
                                                              {Fault::Late},
                                                              {Fault::LostAfter, Fault::Outage}}) {
        LossyTable table;
        table.faults = faults;
        const auto version = ConfirmedCommit(table, [] {}).commit(ownWrite);
        EXPECT_EQ(version, Version(1));
        EXPECT_EQ(table.appliedWrites, 1);
    }
}

TEST(ConfirmedCommitTest, reportsThatNothingWasWrittenOnlyIfThatIsTrue)
{
    LossyTable table;
    table.faults = {Fault::Outage};
    EXPECT_THROW(ConfirmedCommit(table, [] {}).commit(ownWrite), Error);
    EXPECT_EQ(table.appliedWrites, 0);
    table.put({"row", "other", Version(0)});
    EXPECT_EQ(ConfirmedCommit(table, [] {}).commit(ownWrite), std::nullopt);
}

TEST(ConfirmedCommitTest, reportsOutcomeUnknownIfAnotherWriteReplacedTheRow)
{
    LossyTable table;
    table.faults = {Fault::LostAfter};
    ConfirmedCommit commit(table, [&table] { table.put({"row", "other", Version(1)}); });
    try {
        commit.commit(ownWrite);
        FAIL() << "the write was replaced by another one, so its outcome can't be known";
    } catch (const Error &e) {
        EXPECT_EQ(e.kind(), ErrorKind::OutcomeUnknown);
    }
}

TEST(ConfirmedCommitTest, reportsTheTrueOutcomeUnderRandomFaults)
{
    constexpr std::uint64_t seed = 20261204;
    std::cout << "seed " << seed << '\n';
    std::mt19937_64 random(seed);
    for (int i = 0; i < 10'000; ++i) {
        LossyTable table;
        for (int n = 0; n < 6; ++n)
            table.faults.push_back(static_cast<Fault>(random() % 5));
        const bool hasOtherWriter = random() % 4 == 0;
        ConfirmedCommit commit(table, [&] {
            if (hasOtherWriter)
                table.put({"row", "other", Version(table.row ? 1 : 0)});
        });
        try {
            const auto version = commit.commit(ownWrite);
            table.applyLateWrite();
            const bool isInTable = table.row && table.row->value == ownWrite.value;
            ASSERT_EQ(version.has_value(), isInTable) << "round " << i;
        } catch (const Error &e) {
            table.applyLateWrite();
            if (e.kind() == ErrorKind::PlatformUnavailable) {
                ASSERT_EQ(table.appliedWrites, 0) << "round " << i;
            }
        }
    }
}
