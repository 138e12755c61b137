#include "Apps/Gateway/ConfirmedCommit.h"
#include "Core/Error.h"

#include <gtest/gtest.h>

#include <iostream>
#include <random>

using namespace quetzalyoke;

namespace {

// A table with one row, that loses answers before or after the write took effect.
class LossyTable : public TableStore
{
public:
    enum class Fault { None, LostBefore, LostAfter, Outage, Late };

    std::optional<TableRow> read(const std::string &) override
    {
        takeLate();
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
            late = writes.front();
            throw Error(ErrorKind::OutcomeUnknown, "lost");
        }
        const auto version = put(writes.front());
        if (fault == Fault::LostAfter)
            throw Error(ErrorKind::OutcomeUnknown, "lost");
        takeLate();
        return version;
    }
    std::optional<Version> put(const ConditionalWrite &write)
    {
        const Version current = row ? row->version : Version(0);
        if (current != *write.expected)
            return std::nullopt;
        row = TableRow{write.key, *write.value, current + Version(1)};
        ++writesDone;
        return row->version;
    }
    // A write that was still on its way arrives.
    void takeLate()
    {
        if (late)
            put(*std::exchange(late, std::nullopt));
    }

    std::vector<Fault> faults;
    std::optional<TableRow> row;
    std::optional<ConditionalWrite> late;
    int writesDone = 0;
};

using Fault = LossyTable::Fault;

const ConditionalWrite own{"row", "own", Version(0)};

} // namespace

TEST(ConfirmedCommitTest, findsOutWhatALostAnswerSaid)
{
    for (const auto &faults : std::vector<std::vector<Fault>>{{Fault::LostBefore},
                                                              {Fault::LostAfter},
                                                              {Fault::Late},
                                                              {Fault::LostAfter, Fault::Outage}}) {
        LossyTable table;
        table.faults = faults;
        const auto version = ConfirmedCommit(table, [] {}).commit(own);
        EXPECT_EQ(version, Version(1));
        EXPECT_EQ(table.writesDone, 1);
    }
}

TEST(ConfirmedCommitTest, saysThatNothingHappenedOnlyWhereNothingDid)
{
    LossyTable table;
    table.faults = {Fault::Outage};
    EXPECT_THROW(ConfirmedCommit(table, [] {}).commit(own), Error);
    EXPECT_EQ(table.writesDone, 0);
    table.put({"row", "other", Version(0)});
    EXPECT_EQ(ConfirmedCommit(table, [] {}).commit(own), std::nullopt);
}

TEST(ConfirmedCommitTest, doesNotClaimToKnowWhatAnotherWriterHides)
{
    LossyTable table;
    table.faults = {Fault::LostAfter};
    ConfirmedCommit commit(table, [&table] { table.put({"row", "other", Version(1)}); });
    try {
        commit.commit(own);
        FAIL() << "the write was followed by another, so its outcome can't be told";
    } catch (const Error &e) {
        EXPECT_EQ(e.kind(), ErrorKind::OutcomeUnknown);
    }
}

TEST(ConfirmedCommitTest, isTruthfulUnderRandomFaults)
{
    constexpr std::uint64_t seed = 20261204;
    std::cout << "seed " << seed << '\n';
    std::mt19937_64 random(seed);
    for (int i = 0; i < 10'000; ++i) {
        LossyTable table;
        for (int n = 0; n < 6; ++n)
            table.faults.push_back(static_cast<Fault>(random() % 5));
        const bool other = random() % 4 == 0;
        ConfirmedCommit commit(table, [&] {
            if (other)
                table.put({"row", "other", Version(table.row ? 1 : 0)});
        });
        try {
            const auto version = commit.commit(own);
            table.takeLate();
            const bool stands = table.row && table.row->value == own.value;
            ASSERT_EQ(version.has_value(), stands) << "round " << i;
        } catch (const Error &e) {
            table.takeLate();
            if (e.kind() == ErrorKind::PlatformUnavailable) {
                ASSERT_EQ(table.writesDone, 0) << "round " << i;
            }
        }
    }
}
