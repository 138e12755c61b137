#include "StandIns/Engine/Batch.h"
#include "StandIns/Engine/EngineMemory.h"

#include <gtest/gtest.h>

using namespace quetzalyoke;
using namespace quetzalyoke::standins;

namespace {

constexpr std::chrono::seconds completionTimeout{10};

EngineSettings smallEngineSettings()
{
    EngineSettings settings;
    settings.memory = Megabytes(100);
    settings.stepTime = std::chrono::milliseconds(1);
    settings.modelLoadTime = std::chrono::microseconds(0);
    settings.prefillTokensPerStep = 64;
    settings.maximumBatchSize = 1;
    settings.cacheBlocks = 8;
    return settings;
}

std::shared_ptr<Sequence> makeSequence(const std::string &prompt, int priority)
{
    const nlohmann::json body{{"prompt", prompt}};
    auto sequence = std::make_shared<Sequence>(Prompt("quick-answer", body), 0, 3);
    sequence->priority = priority;
    sequence->runLogEntry = {{"request", prompt}, {"attempt", prompt + "-1"}};
    return sequence;
}

ReceivedOrder makeLoadOrder(const std::string &name, std::int64_t memory, std::int64_t fencing)
{
    ReceivedOrder order;
    order.name = name;
    order.version = "1";
    order.memory = Megabytes(memory);
    order.fencingToken = fencing;
    return order;
}

void waitUntilComplete(const Sequence &sequence)
{
    const auto end = std::chrono::steady_clock::now() + completionTimeout;
    while (!sequence.isComplete() && std::chrono::steady_clock::now() < end)
        std::this_thread::yield();
    ASSERT_TRUE(sequence.isComplete());
}

} // namespace

TEST(EngineStandInTest, RunsWaitingRequestsByPriority)
{
    Batch batch(smallEngineSettings());
    const auto last = makeSequence("last", 2);
    batch.add(makeSequence("first", 0));
    batch.add(last);
    batch.add(makeSequence("urgent", 1));
    waitUntilComplete(*last);
    const std::string runLog = batch.runLog();
    EXPECT_LT(runLog.find("\"urgent\""), runLog.find("\"last\""));
}

TEST(EngineStandInTest, RunLogSaysWhetherARequestFinished)
{
    Batch batch(smallEngineSettings());
    const auto sequence = makeSequence("whole", 0);
    batch.add(sequence);
    waitUntilComplete(*sequence);
    const auto line = nlohmann::json::parse(batch.runLog());
    EXPECT_EQ(line["finished"], true);
    EXPECT_EQ(line["attempt"], "whole-1");
}

TEST(EngineStandInTest, CachesTheSharedPrefixOfPrompts)
{
    const std::string prefix(128, 'p');
    const Prompt first("quick-answer", {{"prompt", prefix + std::string(64, 'a')}});
    const Prompt second("quick-answer", {{"prompt", prefix + std::string(64, 'b')}});
    PrefixCache cache(8);
    EXPECT_EQ(cache.matchAndStore(first.blockHashes(), Instant()), 0U);
    EXPECT_EQ(cache.matchAndStore(second.blockHashes(), Instant()), 2U);
}

TEST(EngineStandInTest, EvictsTheLeastRecentlyUsedBlock)
{
    PrefixCache cache(2);
    cache.matchAndStore({1}, Instant());
    cache.matchAndStore({2}, Instant());
    cache.matchAndStore({1}, Instant());
    cache.matchAndStore({3}, Instant());
    EXPECT_EQ(cache.matchAndStore({2}, Instant()), 0U);
    const auto events = cache.events(0, Instant());
    ASSERT_GE(events.size(), 4U);
    EXPECT_FALSE(events[2].stored);
    EXPECT_EQ(events[2].block, 2U);
}

TEST(EngineStandInTest, DerivesOutputTokensFromModelAndPrompt)
{
    const Prompt prompt("quick-answer", {{"prompt", "hay"}});
    const Prompt other("quick-answer", {{"prompt", "oats"}});
    EXPECT_NE(prompt.outputToken(0), other.outputToken(0));
    // The published FNV-1a hashes of the empty text and of "a".
    EXPECT_EQ(hash32(""), 0x811c9dc5U);
    EXPECT_EQ(hash32("a"), 0xe40c292cU);
}

TEST(EngineStandInTest, RejectsAndReportsAnOrderBeyondItsMemory)
{
    EngineMemory memory(smallEngineSettings());
    EXPECT_EQ(memory.execute(makeLoadOrder("a", 60, 1)), 200);
    EXPECT_EQ(memory.report({})["overcommitted"], false);
    EXPECT_EQ(memory.execute(makeLoadOrder("b", 41, 1)), 507);
    EXPECT_EQ(memory.report({})["overcommitted"], true);
    EXPECT_EQ(memory.report({})["peak_mb"], 60);
}

TEST(EngineStandInTest, RejectsStaleFencingTokensOnlyIfItChecksThem)
{
    EngineSettings settings = smallEngineSettings();
    EngineMemory checking(settings);
    EXPECT_EQ(checking.execute(makeLoadOrder("a", 1, 5)), 200);
    EXPECT_EQ(checking.execute(makeLoadOrder("b", 1, 4)), 412);
    settings.checksFencing = false;
    EngineMemory notChecking(settings);
    EXPECT_EQ(notChecking.execute(makeLoadOrder("a", 1, 5)), 200);
    EXPECT_EQ(notChecking.execute(makeLoadOrder("b", 1, 4)), 200);
}
