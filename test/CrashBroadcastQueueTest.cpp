#include "Serving/Requests/CrashBroadcastQueue.h"

#include <gtest/gtest.h>

using namespace quetzalyoke;

// Load pattern: a quarter of the servers crash at once, each with some requests in flight.
TEST(CrashBroadcastQueueTest, tellsEachOfManyCrashesAFewTimesInSmallNews)
{
    constexpr int crashes = 500;
    const CrashBroadcastQueue::Settings settings;
    CrashBroadcastQueue news(settings);
    for (int i = 0; i < crashes; ++i)
        news.add(Fingerprint("f" + std::to_string(i)), "engine-1/7");
    std::map<Fingerprint, int> told;
    int rounds = 0;
    while (true) {
        const auto part = news.nextBatch();
        if (part.empty())
            break;
        ASSERT_LE(part.size(), settings.maxPerDatagram);
        for (const Suspicion &it : part)
            ++told[it.fingerprint];
        ++rounds;
    }
    EXPECT_EQ(told.size(), static_cast<std::size_t>(crashes));
    for (const auto &[fingerprint, n] : told)
        EXPECT_EQ(n, settings.sendsPerCrash) << fingerprint.text();
    EXPECT_LE(rounds,
              crashes * settings.sendsPerCrash / static_cast<int>(settings.maxPerDatagram) + 3);
}

TEST(CrashBroadcastQueueTest, splitsWhatANewcomerIsTold)
{
    const CrashBroadcastQueue news{CrashBroadcastQueue::Settings()};
    std::vector<Suspicion> known;
    for (int i = 0; i < 60; ++i)
        known.push_back({Fingerprint("f" + std::to_string(i)), {"engine-1/7", "engine-2/8"}});
    const auto parts = news.splitIntoBatches(known);
    ASSERT_EQ(parts.size(), 3U);
    std::size_t n = 0;
    for (const auto &part : parts)
        n += part.size();
    EXPECT_EQ(n, 120U);
    EXPECT_TRUE(news.splitIntoBatches({}).empty());
}
