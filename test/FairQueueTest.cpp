#include "Core/Requests/FairQueue.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <iostream>
#include <map>
#include <random>

using namespace quetzalyoke;

namespace {

constexpr std::uint64_t seed = 23;
constexpr std::int64_t maxTokens = 100; // of one attempt

QueuedAttempt makeAttempt(const std::string &account, std::int64_t tokens, int priority = 0)
{
    static int n = 0;
    QueuedAttempt attempt;
    attempt.id = AttemptId(std::to_string(++n));
    attempt.account = AccountId(account);
    attempt.priority = priority;
    attempt.estimatedTokens = Tokens(tokens);
    return attempt;
}

std::string nextAccount(AttemptQueue &queue)
{
    const auto attempt = queue.pop(Instant());
    return attempt ? attempt->account.text() : "";
}

} // namespace

TEST(FairQueueTest, ServesEqualTokensWhileAllAccountsWait)
{
    std::cout << "seed " << seed << "\n";
    std::mt19937_64 random(seed);
    std::uniform_int_distribution<std::int64_t> tokens(1, maxTokens);
    FairQueue queue;
    std::map<std::string, std::int64_t> waiting;
    std::map<std::string, std::int64_t> served;
    for (int i = 0; i < 900; ++i) {
        const std::string account = i % 9 == 0 ? "small" : "large-" + std::to_string(i % 2);
        queue.push(makeAttempt(account, tokens(random)));
        ++waiting[account];
    }
    while (waiting["small"] > 0 && waiting["large-0"] > 0 && waiting["large-1"] > 0) {
        const auto attempt = queue.pop(Instant());
        ASSERT_TRUE(attempt);
        --waiting[attempt->account.text()];
        served[attempt->account.text()] += attempt->estimatedTokens.count();
        EXPECT_LE(std::abs(served["small"] - served["large-0"]), 2 * maxTokens);
        EXPECT_LE(std::abs(served["small"] - served["large-1"]), 2 * maxTokens);
    }
}

TEST(FairQueueTest, ANewAttemptWaitsForAtMostOneAttemptOfEachOtherAccount)
{
    FairQueue queue;
    for (int i = 0; i < 1000; ++i)
        queue.push(makeAttempt("large", maxTokens));
    for (int i = 0; i < 500; ++i)
        EXPECT_EQ(nextAccount(queue), "large");
    queue.push(makeAttempt("small", maxTokens));
    const std::string first = nextAccount(queue);
    EXPECT_TRUE(first == "small" || nextAccount(queue) == "small");
}

TEST(FairQueueTest, AnIdleAccountGainsNoCredit)
{
    FairQueue queue;
    for (int i = 0; i < 200; ++i)
        queue.push(makeAttempt("large", 10));
    for (int i = 0; i < 100; ++i)
        queue.pop(Instant());
    for (int i = 0; i < 100; ++i)
        queue.push(makeAttempt("late", 10));
    std::map<std::string, int> served;
    for (int i = 0; i < 100; ++i)
        ++served[nextAccount(queue)];
    EXPECT_GE(served["large"], 49);
}

TEST(FairQueueTest, LowerPriorityNumbersRunFirst)
{
    FairQueue queue;
    queue.push(makeAttempt("later", 1, 5));
    queue.push(makeAttempt("first", 1000, 0));
    EXPECT_EQ(nextAccount(queue), "first");
    EXPECT_EQ(nextAccount(queue), "later");
}

TEST(FairQueueTest, ReturnsEveryAttemptOnceAndNothingOnlyWhenEmpty)
{
    std::cout << "seed " << seed << "\n";
    std::mt19937_64 random(seed);
    FairQueue queue;
    std::set<AttemptId> waiting;
    for (int i = 0; i < 10'000; ++i) {
        ASSERT_EQ(queue.size(), waiting.size());
        if (random() % 2 == 0) {
            const auto attempt = makeAttempt("account-" + std::to_string(random() % 5),
                                             static_cast<std::int64_t>(random() % maxTokens),
                                             static_cast<int>(random() % 3));
            waiting.insert(attempt.id);
            queue.push(attempt);
            continue;
        }
        const auto attempt = queue.pop(Instant());
        ASSERT_EQ(attempt.has_value(), !waiting.empty());
        if (attempt) {
            ASSERT_EQ(waiting.erase(attempt->id), 1U);
        }
    }
}
