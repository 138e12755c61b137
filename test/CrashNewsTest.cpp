#include "Serving/Requests/CrashNews.h"

#include <gtest/gtest.h>

using namespace quetzalyoke;

// Load pattern: a quarter of the servers crash at once, each with some requests in flight.
TEST(CrashNewsTest, tellsEachOfManyCrashesAFewTimesInSmallNews)
{
    constexpr int crashes = 500;
    const CrashNews::Settings settings;
    CrashNews news(settings);
    for (int i = 0; i < crashes; ++i)
        news.add(Fingerprint("f" + std::to_string(i)), "engine-1/7");
    std::map<Fingerprint, int> told;
    int rounds = 0;
    while (true) {
        const auto part = news.next();
        if (part.empty())
            break;
        ASSERT_LE(part.size(), settings.perNews);
        for (const Suspicion &it : part)
            ++told[it.fingerprint];
        ++rounds;
    }
    EXPECT_EQ(told.size(), static_cast<std::size_t>(crashes));
    for (const auto &[fingerprint, n] : told)
        EXPECT_EQ(n, settings.repeats) << fingerprint.text();
    EXPECT_LE(rounds, crashes * settings.repeats / static_cast<int>(settings.perNews) + 3);
}

TEST(CrashNewsTest, splitsWhatANewcomerIsTold)
{
    const CrashNews news{CrashNews::Settings()};
    std::vector<Suspicion> known;
    for (int i = 0; i < 60; ++i)
        known.push_back({Fingerprint("f" + std::to_string(i)), {"engine-1/7", "engine-2/8"}});
    const auto parts = news.split(known);
    ASSERT_EQ(parts.size(), 3U);
    std::size_t n = 0;
    for (const auto &part : parts)
        n += part.size();
    EXPECT_EQ(n, 120U);
    EXPECT_TRUE(news.split({}).empty());
}
