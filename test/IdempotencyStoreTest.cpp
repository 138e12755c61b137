#include "Apps/Gateway/IdempotencyStore.h"

#include "Core/Error.h"
#include "StandIns/Platform/InMemoryTable.h"

#include <gtest/gtest.h>

#include <iostream>
#include <random>

using namespace quetzalyoke;

namespace {

constexpr int scheduleCount = 2000;

// A table that refuses calls and loses responses at random.
class FlakyTable : public TableStore
{
public:
    FlakyTable(TableStore &table, std::mt19937_64 &random, double failureProbability)
        : m_table(table), m_random(random), m_failureProbability(failureProbability)
    { }

    std::optional<TableRow> read(const std::string &key) override
    {
        maybeFail();
        return m_table.read(key);
    }
    std::vector<TableRow> scan(const std::string &prefix, Version after) override
    {
        maybeFail();
        return m_table.scan(prefix, after);
    }
    std::optional<Version> commit(const std::vector<ConditionalWrite> &writes) override
    {
        maybeFail();
        const auto version = m_table.commit(writes);
        if (drawFailure())
            throw Error(ErrorKind::OutcomeUnknown, "response lost");
        return version;
    }

private:
    bool drawFailure()
    {
        return std::uniform_real_distribution<double>(0, 1)(m_random) < m_failureProbability;
    }
    void maybeFail()
    {
        if (drawFailure())
            throw Error(ErrorKind::PlatformUnavailable, "out");
    }

    TableStore &m_table;
    std::mt19937_64 &m_random;
    double m_failureProbability;
};

ParsedRequest bookingRequest()
{
    ParsedRequest request;
    request.account = AccountId("a");
    request.target = "counter";
    request.idempotencyKey = "booking-7";
    request.fingerprint = Fingerprint("f");
    request.isIdempotent = false;
    request.deadline = std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now())
        + std::chrono::minutes(1);
    return request;
}

} // namespace

// Two gateways receive the same request repeatedly while the table fails at random.
TEST(IdempotencyStoreTest, runsEachKeyAtMostOnceWhileTheTableFails)
{
    GatewaySettings settings;
    AgentRegistry agentRegistry(settings);
    int totalRuns = 0;
    for (std::uint64_t seed = 1; seed <= scheduleCount; ++seed) {
        std::mt19937_64 random(seed);
        standins::InMemoryTable table;
        FlakyTable flaky(table, random, 0.3);
        IdempotencyStore first(flaky, agentRegistry);
        IdempotencyStore second(flaky, agentRegistry);
        int runs = 0;
        for (int i = 0; i < 6; ++i) {
            IdempotencyStore &store = i % 2 == 0 ? first : second;
            const AttemptId attempt("attempt-" + std::to_string(i));
            const auto claimed = store.claim(bookingRequest(), attempt, {});
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
        totalRuns += runs;
        first.stop();
        second.stop();
    }
    std::cout << "seeds 1.." << scheduleCount << ", ran once: " << totalRuns << '\n';
    EXPECT_GT(totalRuns, scheduleCount / 2);
}

TEST(IdempotencyStoreTest, replaysTheStoredResponseAndRejectsAReusedKey)
{
    GatewaySettings settings;
    AgentRegistry agentRegistry(settings);
    standins::InMemoryTable table;
    IdempotencyStore store(table, agentRegistry);
    const auto claimed = store.claim(bookingRequest(), AttemptId("first"), {});
    store.recordCompleted(std::get<IdempotencyStore::Claim>(claimed), {201, {}, "booked", false});
    const auto again = store.claim(bookingRequest(), AttemptId("second"), {});
    EXPECT_EQ(std::get<StoredResponse>(again).body, "booked");
    ParsedRequest other = bookingRequest();
    other.fingerprint = Fingerprint("g");
    const auto reused = store.claim(other, AttemptId("third"), {});
    EXPECT_EQ(std::get<Refusal>(reused).code, "idempotency_key_reused");
}

TEST(IdempotencyStoreTest, refusesAsNotRunWhileTheTableIsUnavailable)
{
    GatewaySettings settings;
    AgentRegistry agentRegistry(settings);
    standins::InMemoryTable table;
    std::mt19937_64 random(1);
    FlakyTable unavailable(table, random, 1.0);
    IdempotencyStore store(unavailable, agentRegistry);
    const auto claimed = store.claim(bookingRequest(), AttemptId("first"), {});
    EXPECT_EQ(std::get<Refusal>(claimed).runState, RunState::NotRun);
    EXPECT_GT(std::get<Refusal>(claimed).retryAfter.count(), 0);
}
