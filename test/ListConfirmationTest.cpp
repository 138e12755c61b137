#include "Apps/Entry/ListConfirmation.h"
#include "FakePlatform.h"

#include <gtest/gtest.h>

using namespace quetzalyoke;
using namespace std::chrono_literals;

namespace {

// A store that responds when the test says so.
class SilentPlatform : public FakePlatform
{
public:
    void confirmServers(std::function<void(bool)> done) override { calls.push_back(done); }
    std::vector<std::function<void(bool)>> calls;
};

class ListConfirmationTest : public ::testing::Test
{
protected:
    void request()
    {
        confirmation.request([this](bool isConfirmed) { results.push_back(isConfirmed); });
    }
    void runFor(Duration time)
    {
        for (const Instant end = now + time; now < end; confirmation.tick())
            now += 50ms;
    }

    Instant now{1h};
    std::optional<Instant> peersHeardAt;
    SilentPlatform platform;
    std::vector<bool> results;
    ListConfirmation confirmation{
        platform,
        {[this] { return now; },
         [this](Instant time) { return peersHeardAt && *peersHeardAt >= time; }}};
};

} // namespace

TEST_F(ListConfirmationTest, asksTheStoreOnceForRequestsThatComeTogether)
{
    request();
    platform.calls.at(0)(true);
    EXPECT_EQ(results, (std::vector<bool>{true}));
    request();
    request();
    EXPECT_EQ(platform.calls.size(), 2U);
    now += 5ms;
    request(); // the call under way may have been answered before
    platform.calls.at(1)(true);
    EXPECT_EQ(results, (std::vector<bool>{true, true, true}));
    ASSERT_EQ(platform.calls.size(), 3U);
    platform.calls.at(2)(true);
    EXPECT_EQ(results.size(), 4U);
}

TEST_F(ListConfirmationTest, endsAfterALimitedTimeWithoutAResponse)
{
    request();
    runFor(550ms);
    EXPECT_TRUE(results.empty());
    runFor(50ms);
    EXPECT_EQ(results, (std::vector<bool>{false}));
}

// Guards against take-ups that are refused for good because one call was lost.
TEST_F(ListConfirmationTest, asksAgainAfterACallThatWasLost)
{
    request();
    runFor(700ms);
    request();
    ASSERT_EQ(platform.calls.size(), 2U);
    platform.calls.at(1)(true);
    EXPECT_EQ(results, (std::vector<bool>{false, true}));
}

TEST_F(ListConfirmationTest, asksAStoreThatFailsAgainSoon)
{
    request();
    platform.calls.at(0)(false);
    runFor(250ms);
    ASSERT_EQ(platform.calls.size(), 2U);
    platform.calls.at(1)(true);
    EXPECT_EQ(results, (std::vector<bool>{true}));
}

// Messages from before the request, or that were buffered while the instance was suspended, show
// nothing.
TEST_F(ListConfirmationTest, takesOnlyPeersThatAreHeardAfterTheRequest)
{
    request();
    peersHeardAt = now + 50ms;
    runFor(300ms);
    EXPECT_TRUE(results.empty());
    peersHeardAt = now;
    runFor(50ms);
    EXPECT_EQ(results, (std::vector<bool>{true}));
}
