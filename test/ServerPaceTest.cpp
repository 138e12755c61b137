#include "Serving/Servers/ServerChooser.h"

#include <gtest/gtest.h>

using namespace quetzalyoke;
using namespace std::chrono_literals;

namespace {

const Instant start{1h};

} // namespace

// Without a stated pace all estimates must be as before.
TEST(ServerPaceTest, isNeutralWithoutAStatement)
{
    EXPECT_EQ(ServerPace().factor(start), 1);
    ServerPace pace;
    for (int i = 0; i < 100; ++i)
        pace.record(100, start + i * 10ms);
    EXPECT_DOUBLE_EQ(pace.factor(start + 5s), 1);
}

// A slow-down lasts some hundred milliseconds; a statement of it must not outlive it.
TEST(ServerPaceTest, losesAStatementInFavourOfTheMean)
{
    ServerPace pace;
    // A machine that is slowed for 600 ms of every 4 s states its pace ten times a second.
    Instant now = start;
    for (; now < start + 60s; now += 100ms)
        pace.record((now - start) % 4s < 600ms ? 250 : 100, now);
    EXPECT_DOUBLE_EQ(pace.factor(now - 100ms), 1);
    EXPECT_NEAR(pace.factor(now + 2s), 1 + 1.5 * 0.15, 0.12);
    pace.record(250, now);
    EXPECT_DOUBLE_EQ(pace.factor(now), 2.5);
    EXPECT_GT(pace.factor(now + 100ms), 1.8);
    EXPECT_LT(pace.factor(now + 1s), 1.4);
    EXPECT_NEAR(pace.factor(now + 10min), 1, 0.001);
}

// A single statement must not make a server slow for long.
TEST(ServerPaceTest, keepsTheMeanNearTheUsualPaceAfterOneStatement)
{
    ServerPace pace;
    pace.record(250, start);
    EXPECT_LT(pace.factor(start + 2s), 1.2);
}

// A slow-down that the server states must not raise the learned ratio as well, since the estimate
// would then contain it twice.
TEST(ServerPaceTest, isNotCountedInTheLatencyRatio)
{
    ServerHealth health;
    for (int i = 0; i < 100; ++i)
        health.recordLatency(250ms, 100ms, 2.5);
    EXPECT_NEAR(health.latencyRatio(), 1, 1e-9);
    for (int i = 0; i < 100; ++i)
        health.recordLatency(250ms, 100ms, 1);
    EXPECT_NEAR(health.latencyRatio(), 2.5, 0.01);
    health.recordLatency(250ms, 0ms, 1);
    EXPECT_NEAR(health.latencyRatio(), 2.5, 0.01);
}

TEST(ServerPaceTest, delaysTheExpectedFirstByteOfPlainServersAndEngines)
{
    for (const bool isEngine : {false, true}) {
        ServiceSpec service;
        service.name = ServiceName("app");
        if (isEngine)
            service.engine.emplace().kvCacheTokens = 100'000;
        RequestMetadata metadata;
        metadata.promptTokens = Tokens(1000);
        const std::vector<std::uint64_t> prefixHashes;
        ServerDirectory directory(2s);
        for (const char *id : {"server-1", "server-2"}) {
            ListedServer listed;
            listed.id = ServerName(id);
            listed.incarnation = Incarnation(1);
            listed.service = service.name;
            listed.slots = 6;
            directory.put(listed, start);
        }
        ServerChooser chooser{ServerChooser::Settings(), ZoneName()};
        const auto choose = [&] {
            return chooser.choose({&service, &metadata, &prefixHashes, {}}, directory, start);
        };
        const ServerChoice usual = choose();
        directory.find(usual.server)->pace.record(250, start);
        const ServerChoice other = choose();
        EXPECT_NE(other.server, usual.server);
        directory.find(other.server)->pace.record(250, start);
        const ServerChoice slow = choose();
        EXPECT_EQ(slow.server, usual.server);
        EXPECT_NEAR(toSeconds(slow.expectedTimeToFirstByte),
                    2.5 * toSeconds(usual.expectedTimeToFirstByte), 1e-5);
        EXPECT_NEAR(toSeconds(slow.usualTimeToFirstByte), toSeconds(usual.usualTimeToFirstByte),
                    1e-5);
        EXPECT_DOUBLE_EQ(slow.pace, 2.5);
        // A new incarnation may run on another machine.
        ListedServer restarted = directory.find(usual.server)->listed;
        restarted.incarnation = Incarnation(2);
        directory.put(restarted, start);
        EXPECT_DOUBLE_EQ(directory.find(usual.server)->pace.factor(start), 1);
    }
}
