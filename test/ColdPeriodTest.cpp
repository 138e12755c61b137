#include "Serving/Servers/ColdPeriod.h"
#include "Serving/Servers/ServerDirectory.h"

#include <gtest/gtest.h>

using namespace quetzalyoke;
using namespace std::chrono_literals;

namespace {

const Instant start{1h};
const ServerName engine("engine-1");
const ServiceName service("llm");

ListedServer listed(std::int64_t incarnation, std::optional<Duration> coldTime = {})
{
    ListedServer server;
    server.id = engine;
    server.incarnation = Incarnation(incarnation);
    server.service = service;
    server.address = "10.0.0.1:80";
    server.zone = ZoneName("east");
    server.coldTime = coldTime;
    return server;
}

// A directory whose service tolerates 6.9 requests a second while its servers are cold.
class ColdDirectory : public ServerDirectory
{
public:
    ColdDirectory() : ServerDirectory(2s) { setColdRules({{service, {RequestRate(6.9), 20s}}}); }
};

} // namespace

TEST(ColdPeriodTest, endsWhenTheServersEntryStatesThatItIsWarm)
{
    ColdPeriod period;
    EXPECT_FALSE(period.recordEntry(0s, start));
    EXPECT_TRUE(period.recordEntry(8s, start));
    EXPECT_TRUE(period.isCold(start + 7s));
    EXPECT_FALSE(period.isCold(start + 8s));
    EXPECT_TRUE(period.recordEntry(0s, start + 3s));
    EXPECT_FALSE(period.isCold(start + 3s));
}

// The list lags: an entry from before the server became cold arrives after its response.
TEST(ColdPeriodTest, isNotEndedByAnEntryFromBeforeTheResponse)
{
    ColdPeriod period;
    EXPECT_TRUE(period.recordResponse(60s, start, start + 1s));
    EXPECT_EQ(period.source(), ColdSource::Response);
    EXPECT_FALSE(period.recordEntry(0s, start + 2s));
    EXPECT_FALSE(period.recordEntry(3s, start + 2s)); // of an earlier cold period
    EXPECT_FALSE(period.recordEntry(0s, start + 60'900ms));
    EXPECT_TRUE(period.isCold(start + 60'900ms));
    // The list has caught up once it states the same end.
    period.recordEntry(58s, start + 4s);
    EXPECT_TRUE(period.isCold(start + 61s));
    EXPECT_TRUE(period.recordEntry(0s, start + 6s));
    EXPECT_FALSE(period.isCold(start + 6s));
}

// Responses overtake each other.
TEST(ColdPeriodTest, isEndedOnlyByAResponseToARequestThatWasSentLater)
{
    ColdPeriod period;
    EXPECT_FALSE(period.recordResponse(0s, start, start));
    EXPECT_TRUE(period.recordResponse(60s, start, start + 1s));
    EXPECT_FALSE(period.recordResponse(0s, start + 500ms, start + 2s));
    EXPECT_TRUE(period.isCold(start + 2s));
    EXPECT_TRUE(period.recordResponse(0s, start + 2s, start + 3s));
    EXPECT_FALSE(period.isCold(start + 3s));
}

// The process has ended, and the next one at its address answers before the list shows it.
TEST(ColdPeriodTest, beginsWhenAProcessHasEnded)
{
    ColdDirectory directory;
    directory.put(listed(1, 0s), start);
    EXPECT_FALSE(directory.recordProcessEnd(engine, Incarnation(2), start + 1s));
    EXPECT_TRUE(directory.recordProcessEnd(engine, Incarnation(1), start + 1s));
    directory.put(listed(1, 0s), start + 2s);
    EXPECT_TRUE(directory.find(engine)->isCold(start + 20s));
    EXPECT_FALSE(directory.find(engine)->isCold(start + 21s));
    directory.put(listed(2, 0s), start + 4s);
    EXPECT_FALSE(directory.find(engine)->isCold(start + 4s));
}

// Two gateways that tell each other what they believe must not extend the period for ever.
TEST(ColdPeriodTest, isNotExtendedByTheTimeThatNewsTakes)
{
    ColdPeriod first;
    ColdPeriod second;
    first.recordResponse(10s, start, start);
    Instant now = start;
    for (int i = 0; i < 500; ++i) {
        now += 20ms;
        second.recordPeer(first.remaining(now - 20ms), now);
        now += 20ms;
        first.recordPeer(second.remaining(now - 20ms), now);
    }
    EXPECT_FALSE(first.isCold(start + 10'300ms));
    EXPECT_FALSE(second.isCold(start + 10'300ms));
}

// Requests that wait for the end must not be sent all at once.
TEST(ColdPeriodTest, raisesTheRateAfterTheEnd)
{
    const RequestRate coldRate(6.9);
    ColdPeriod period;
    EXPECT_FALSE(period.requestRate(coldRate, start));
    period.recordEntry(8s, start);
    EXPECT_EQ(period.requestRate(coldRate, start + 7s), coldRate);
    EXPECT_EQ(period.requestRate(coldRate, start + 8s), coldRate);
    EXPECT_LE(*period.requestRate(coldRate, start + 8'500ms), RequestRate(13.81));
    EXPECT_GT(*period.requestRate(coldRate, start + 9'900ms), RequestRate(90));
    EXPECT_FALSE(period.requestRate(coldRate, start + 10s));
}

TEST(ColdPeriodTest, beginsWithAnIncarnationThatStatesNothing)
{
    ColdDirectory directory;
    directory.put(listed(1), start);
    // It was running when this gateway started.
    EXPECT_FALSE(directory.find(engine)->isCold(start));
    directory.recordListRead();
    directory.put(listed(1), start + 1s);
    EXPECT_FALSE(directory.find(engine)->isCold(start + 1s));
    directory.put(listed(2), start + 5s);
    EXPECT_TRUE(directory.find(engine)->isCold(start + 24s));
    EXPECT_FALSE(directory.find(engine)->isCold(start + 25s));
    // Entries without a statement never end the period.
    directory.put(listed(2), start + 6s);
    EXPECT_TRUE(directory.find(engine)->isCold(start + 6s));
    directory.put(listed(2, 0s), start + 7s);
    EXPECT_FALSE(directory.find(engine)->isCold(start + 7s));
    directory.put(listed(3, 0s), start + 9s);
    EXPECT_FALSE(directory.find(engine)->isCold(start + 9s));
    directory.put(listed(4, 3s), start + 10s);
    EXPECT_TRUE(directory.find(engine)->isCold(start + 12s));
    EXPECT_FALSE(directory.find(engine)->isCold(start + 13s));
}

// The entry may lapse and return while the server is cold.
TEST(ColdPeriodTest, isKeptWhileTheEntryIsMissing)
{
    ColdDirectory directory;
    directory.recordListRead();
    directory.put(listed(1, 30s), start);
    directory.remove(engine, start + 1s);
    EXPECT_EQ(directory.find(engine), nullptr);
    directory.put(listed(1), start + 5s);
    EXPECT_TRUE(directory.find(engine)->isCold(start + 29s));
    EXPECT_FALSE(directory.find(engine)->isCold(start + 30s));
    // One that was warm has not just started.
    directory.remove(engine, start + 60s);
    directory.put(listed(1), start + 65s);
    EXPECT_FALSE(directory.find(engine)->isCold(start + 65s));
}

TEST(ColdPeriodTest, limitsNothingWithoutARate)
{
    ServerDirectory directory(2s);
    directory.recordListRead();
    directory.put(listed(1, 30s), start);
    EXPECT_FALSE(directory.find(engine)->isCold(start));
    EXPECT_FALSE(directory.find(engine)->isLimited(start));
    directory.setColdRules({{service, {RequestRate(6.9), 20s}}});
    EXPECT_TRUE(directory.find(engine)->isCold(start));
}

TEST(ColdPeriodTest, leavesTheLowerOfBothLimits)
{
    ColdDirectory directory;
    directory.put(listed(1, 30s), start);
    ServerState &server = *directory.find(engine);
    EXPECT_EQ(server.requestRate(start), RequestRate(6.9));
    server.requestLimit.recordResponse(RequestRate(2), start, start);
    EXPECT_EQ(server.requestRate(start), RequestRate(2));
    server.requestLimit.recordResponse(RequestRate(20), start + 1s, start + 2s);
    EXPECT_EQ(server.requestRate(start + 2s), RequestRate(6.9));
    EXPECT_EQ(server.requestRate(start + 40s), RequestRate(20));
}

// What was on its way when the server became cold, and what an earlier issuer granted, counts in
// the first second.
TEST(ColdPeriodTest, hasNoPermitsInTheFirstSecond)
{
    ColdDirectory directory;
    directory.put(listed(1, 30s), start);
    const ServerState &server = *directory.find(engine);
    const auto firstPermit = [&server](RequestPermitIssuer &issuer, int recentRequests) {
        Instant now = start;
        while (!issuer.decide(server.limitedServer(now), InstanceId("a"), recentRequests, now)
                    .isGranted)
            now += 10ms;
        return now - start;
    };
    RequestPermitIssuer issuer;
    EXPECT_GE(firstPermit(issuer, 0), Duration(1s));
    issuer.clear(); // the next lease holder
    EXPECT_GE(firstPermit(issuer, 0), Duration(1s));
    RequestPermitIssuer busy;
    EXPECT_LE(firstPermit(busy, 500), Duration(1500ms));
}

// Orders don't count towards the rate for a cold server, but towards a stated limit.
TEST(ColdPeriodTest, delaysNoOrders)
{
    ColdDirectory directory;
    directory.put(listed(1, 30s), start);
    ServerState &server = *directory.find(engine);
    RequestPermitIssuer issuer;
    const InstanceId gateway("gateway");
    EXPECT_FALSE(issuer.decide(server.limitedServer(start), gateway, 0, start).isGranted);
    EXPECT_EQ(issuer.callableAt(server.limitedServer(start), start), start);
    for (int i = 0; i < 100; ++i)
        issuer.recordCall(engine, Incarnation(1), start + 5s);
    EXPECT_TRUE(issuer.decide(server.limitedServer(start + 5s), gateway, 0, start + 5s).isGranted);
    server.requestLimit.recordResponse(RequestRate(2), start + 6s, start + 6s);
    EXPECT_GT(issuer.callableAt(server.limitedServer(start + 6s), start + 6s), start + 6s);
}
