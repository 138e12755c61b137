#include "Apps/Gateway/IdempotencyStore.h"

#include "Core/Error.h"
#include "StandIns/Platform/InMemoryTable.h"

#include <gtest/gtest.h>

#include <iostream>
#include <random>

using namespace quetzalyoke;

namespace {

constexpr int scheduleCount = 2000;

// A table that refuses calls and loses answers at random.
class FlakyTable : public TableStore
{
public:
    FlakyTable(TableStore &table, std::mt19937_64 &random, double failure)
        : m_table(table), m_random(random), m_failure(failure)
    { }

    std::optional<TableRow> read(const std::string &key) override
    {
        failBefore();
        return m_table.read(key);
    }
    std::vector<TableRow> scan(const std::string &prefix, Version after) override
    {
        failBefore();
        return m_table.scan(prefix, after);
    }
    std::optional<Version> commit(const std::vector<ConditionalWrite> &writes) override
    {
        failBefore();
        const auto version = m_table.commit(writes);
        if (happens())
            throw Error(ErrorKind::OutcomeUnknown, "answer lost");
        return version;
    }

private:
    bool happens() { return std::uniform_real_distribution<double>(0, 1)(m_random) < m_failure; }
    void failBefore()
    {
        if (happens())
            throw Error(ErrorKind::PlatformUnavailable, "out");
    }

    TableStore &m_table;
    std::mt19937_64 &m_random;
    double m_failure;
};

ParsedRequest bookingCall()
{
    ParsedRequest call;
    call.account = AccountId("a");
    call.target = "counter";
    call.idempotencyKey = "booking-7";
    call.fingerprint = Fingerprint("f");
    call.isIdempotent = false;
    call.deadline = std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now())
        + std::chrono::minutes(1);
    return call;
}

} // namespace

// Two gateways get the same request again and again, over a table that fails at random.
TEST(IdempotencyStoreTest, runsAKeyAtMostOnceOverAFailingTable)
{
    GatewaySettings settings;
    AgentRegistry fleet(settings);
    int ran = 0;
    for (std::uint64_t seed = 1; seed <= scheduleCount; ++seed) {
        std::mt19937_64 random(seed);
        standins::InMemoryTable table;
        FlakyTable flaky(table, random, 0.3);
        IdempotencyStore first(flaky, fleet);
        IdempotencyStore second(flaky, fleet);
        int runs = 0;
        for (int i = 0; i < 6; ++i) {
            IdempotencyStore &store = i % 2 == 0 ? first : second;
            const AttemptId attempt("attempt-" + std::to_string(i));
            const auto claimed = store.claim(bookingCall(), attempt, {});
            const auto *claim = std::get_if<IdempotencyStore::Claim>(&claimed);
            if (!claim)
                continue;
            if (random() % 3 == 0) {
                store.recordRefused(*claim, RunState::NotRun);
                continue;
            }
            ++runs;
            if (random() % 2 == 0)
                store.recordCompleted(*claim, {201, {}, "done", false});
            else
                store.recordRefused(*claim, RunState::Unknown);
        }
        ASSERT_LE(runs, 1) << "seed " << seed;
        ran += runs;
        first.stop();
        second.stop();
    }
    std::cout << "seeds 1.." << scheduleCount << ", ran once: " << ran << '\n';
    EXPECT_GT(ran, scheduleCount / 2);
}

TEST(IdempotencyStoreTest, replaysTheKeptAnswerAndNoticesAReusedKey)
{
    GatewaySettings settings;
    AgentRegistry fleet(settings);
    standins::InMemoryTable table;
    IdempotencyStore store(table, fleet);
    const auto claimed = store.claim(bookingCall(), AttemptId("first"), {});
    store.recordCompleted(std::get<IdempotencyStore::Claim>(claimed), {201, {}, "booked", false});
    const auto again = store.claim(bookingCall(), AttemptId("second"), {});
    EXPECT_EQ(std::get<StoredResponse>(again).body, "booked");
    ParsedRequest other = bookingCall();
    other.fingerprint = Fingerprint("g");
    const auto reused = store.claim(other, AttemptId("third"), {});
    EXPECT_EQ(std::get<Refusal>(reused).code, "idempotency_key_reused");
}

TEST(IdempotencyStoreTest, refusesAsNotRunWhileTheTableIsOut)
{
    GatewaySettings settings;
    AgentRegistry fleet(settings);
    standins::InMemoryTable table;
    std::mt19937_64 random(1);
    FlakyTable out(table, random, 1.0);
    IdempotencyStore store(out, fleet);
    const auto claimed = store.claim(bookingCall(), AttemptId("first"), {});
    EXPECT_EQ(std::get<Refusal>(claimed).runState, RunState::NotRun);
    EXPECT_GT(std::get<Refusal>(claimed).retryAfter.count(), 0);
}
