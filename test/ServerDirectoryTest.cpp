#include "Serving/Servers/ServerDirectory.h"

#include <gtest/gtest.h>

#include <random>

using namespace quetzalyoke;
using namespace std::chrono_literals;

namespace {

const Instant start{1h};
const ServerName engine("engine-1");
const ModelName model("small");
const AdapterName adapter("a1");

ListedServer listed(std::int64_t incarnation)
{
    ListedServer server;
    server.id = engine;
    server.incarnation = Incarnation(incarnation);
    server.service = ServiceName("llm");
    server.address = "10.0.0.1:80";
    server.loadedModels[model];
    return server;
}

LoadedModelChange change(std::int64_t orders, bool isLoad)
{
    return {engine, Incarnation(1), orders, model, adapter, isLoad};
}

} // namespace

TEST(ServerDirectoryTest, appliesOrdersBeforeTheListShowsThem)
{
    ServerDirectory directory(2s);
    directory.put(listed(1), start);
    EXPECT_FALSE(directory.find(engine)->hasLoaded(model, adapter));
    directory.addLoadedModelChange(change(4, true), start);
    EXPECT_TRUE(directory.find(engine)->hasLoaded(model, adapter));
    // A list that lags must not undo the change, but a later order does.
    directory.put(listed(1), start + 1s);
    EXPECT_TRUE(directory.find(engine)->hasLoaded(model, adapter));
    directory.addLoadedModelChange(change(5, false), start + 1s);
    directory.addLoadedModelChange(change(4, true), start + 1s);
    EXPECT_FALSE(directory.find(engine)->hasLoaded(model, adapter));
}

TEST(ServerDirectoryTest, usesTheListOnceItMustHaveCaughtUp)
{
    ServerDirectory directory(2s);
    directory.put(listed(1), start);
    directory.addLoadedModelChange(change(4, true), start);
    directory.removeExpired(start + 10s);
    EXPECT_FALSE(directory.find(engine)->hasLoaded(model, adapter));
}

TEST(ServerDirectoryTest, forgetsOrdersOfAnEarlierIncarnation)
{
    ServerDirectory directory(2s);
    directory.put(listed(1), start);
    directory.addLoadedModelChange(change(4, true), start);
    directory.put(listed(2), start);
    EXPECT_FALSE(directory.find(engine)->hasLoaded(model, adapter));
    directory.put(listed(1), start); // a late entry of the earlier incarnation
    EXPECT_EQ(directory.find(engine)->listed.incarnation, Incarnation(2));
}

TEST(ServerDirectoryTest, keepsServersRemovedDuringAnOutageForTheGracePeriodOnly)
{
    ServerDirectory directory(2s);
    directory.put(listed(1), start);
    directory.recordListOutage(start);
    directory.remove(engine, start + 1s);
    EXPECT_NE(directory.find(engine), nullptr);
    EXPECT_TRUE(directory.removeExpired(start + 1500ms).empty());
    EXPECT_EQ(directory.removeExpired(start + 2100ms).size(), 1U);
    EXPECT_EQ(directory.find(engine), nullptr);
}

TEST(ServerDirectoryTest, removesALeavingServerAtOnceDespiteAnOutage)
{
    ServerDirectory directory(2s);
    ListedServer leaving = listed(1);
    leaving.isLeaving = true;
    directory.put(leaving, start);
    directory.recordListOutage(start);
    directory.remove(engine, start);
    EXPECT_EQ(directory.find(engine), nullptr);
}

TEST(ServerDirectoryTest, addsUpTheWorkOfPeers)
{
    ServerDirectory directory(2s);
    directory.put(listed(1), start);
    const std::int32_t hash = serverHash(engine);
    directory.setPeerWork(InstanceId("a"), {{hash, {2, 100, 300}}});
    directory.setPeerWork(InstanceId("b"), {{hash, {1, 50, 100}}});
    EXPECT_EQ(directory.find(engine)->totalWork().requestsInFlight, 3);
    directory.setPeerWork(InstanceId("a"), {});
    EXPECT_EQ(directory.find(engine)->totalWork().requestsInFlight, 1);
    EXPECT_EQ(directory.find(engine)->totalWork().prefillTokens, 50);
}

TEST(ServerDirectoryTest, replacesTheWorkThatAPeerReported)
{
    ServerDirectory directory(2s);
    directory.put(listed(1), start);
    const std::int32_t hash = serverHash(engine);
    const InstanceId first("gateway-1");
    const InstanceId second("gateway-2");
    directory.setPeerWork(first, {{hash, {2, 100, 1000}}, {hash + 1, {9, 9, 9}}});
    directory.setPeerWork(second, {{hash, {1, 50, 500}}});
    EXPECT_EQ(directory.find(engine)->totalWork().requestsInFlight, 3);
    EXPECT_EQ(directory.find(engine)->totalWork().prefillTokens, 150);
    directory.setPeerWork(first, {{hash, {1, 10, 20}}});
    EXPECT_EQ(directory.find(engine)->totalWork().requestsInFlight, 2);
    EXPECT_EQ(directory.find(engine)->totalWork().kvCacheTokens, 520);
    directory.setPeerWork(first, {});
    EXPECT_EQ(directory.find(engine)->totalWork().requestsInFlight, 1);
    // Work that peers reported for an earlier incarnation no longer counts; later reports do.
    directory.put(listed(2), start);
    EXPECT_EQ(directory.find(engine)->totalWork().requestsInFlight, 0);
    directory.setPeerWork(second, {{hash, {4, 0, 0}}});
    EXPECT_EQ(directory.find(engine)->totalWork().requestsInFlight, 4);
    directory.setPeerWork(second, {});
    EXPECT_EQ(directory.find(engine)->totalWork().requestsInFlight, 0);
}

TEST(ServerDirectoryTest, keepsTheIndexesByServiceAndModelConsistent)
{
    std::mt19937 random(7);
    const auto randomUpTo
        = [&random](int limit) { return std::uniform_int_distribution<int>(0, limit)(random); };
    const auto numbered = [](const char *kind, int i) { return kind + std::to_string(i); };
    ServerDirectory directory(2s);
    Instant now = start;
    for (int step = 0; step < 20'000; ++step) {
        now += 20ms;
        ListedServer server;
        server.id = ServerName(numbered("server-", randomUpTo(5)));
        server.incarnation = Incarnation(randomUpTo(3));
        server.service = ServiceName(numbered("service-", randomUpTo(1)));
        server.address = numbered("10.0.0.", randomUpTo(1));
        for (int i = 0; i < 2; ++i)
            server.loadedModels[ModelName(numbered("model-", randomUpTo(3)))];
        LoadedModelChange change{server.id,     server.incarnation,
                                 step,          ModelName(numbered("model-", randomUpTo(3))),
                                 AdapterName(), randomUpTo(1) == 0};
        switch (randomUpTo(5)) {
        case 0:
            directory.remove(server.id, now);
            break;
        case 1:
            directory.recordListOutage(now);
            break;
        case 2:
            directory.addLoadedModelChange(change, now);
            break;
        case 3:
            directory.removeExpired(now);
            break;
        default:
            directory.put(server, now);
        }
        std::map<ServiceName, std::size_t> serversByService;
        std::map<ModelName, std::size_t> serversByModel;
        for (const auto &[id, state] : directory.servers()) {
            ++serversByService[state.listed.service];
            EXPECT_EQ(directory.serversOfService(state.listed.service).count(&state), 1U);
            for (const auto &[loadedModel, adapters] : state.loadedModels) {
                ++serversByModel[loadedModel];
                EXPECT_EQ(directory.serversWithModel(loadedModel).count(&state), 1U);
            }
        }
        for (int i = 0; i <= 3; ++i) {
            const ServiceName service(numbered("service-", i));
            const ModelName loadedModel(numbered("model-", i));
            ASSERT_EQ(directory.serversOfService(service).size(), serversByService[service])
                << step;
            ASSERT_EQ(directory.serversWithModel(loadedModel).size(), serversByModel[loadedModel])
                << step;
        }
    }
}

TEST(ServerDirectoryTest, keepsAServerLeavingDespiteOlderEntries)
{
    ServerDirectory directory(2s);
    directory.put(listed(1), start);
    EXPECT_TRUE(directory.recordLeaving(engine, Incarnation(1)));
    EXPECT_FALSE(directory.recordLeaving(engine, Incarnation(1)));
    EXPECT_TRUE(directory.find(engine)->listed.isLeaving);
    EXPECT_EQ(directory.unlistedLeavingServers().size(), 1U);
    directory.put(listed(1), start + 1s);
    EXPECT_TRUE(directory.find(engine)->listed.isLeaving);
    // Its entry is removed during an outage of the list and comes back from a peer that lags.
    directory.recordListOutage(start + 2s);
    directory.remove(engine, start + 2s);
    directory.removeExpired(start + 3s);
    directory.put(listed(1), start + 60s);
    EXPECT_TRUE(directory.find(engine)->listed.isLeaving);
    // Once the list shows it as leaving, peers need not be told.
    ListedServer leaving = listed(1);
    leaving.isLeaving = true;
    directory.put(leaving, start + 61s);
    EXPECT_TRUE(directory.unlistedLeavingServers().empty());
}

TEST(ServerDirectoryTest, usesTheNextIncarnationOfAServerThatLeft)
{
    ServerDirectory directory(2s);
    directory.put(listed(1), start);
    directory.recordLeaving(engine, Incarnation(1));
    directory.put(listed(2), start + 1s);
    EXPECT_FALSE(directory.find(engine)->listed.isLeaving);
    EXPECT_FALSE(directory.recordLeaving(engine, Incarnation(1)));
    EXPECT_FALSE(directory.find(engine)->listed.isLeaving);
    EXPECT_TRUE(directory.recordLeaving(engine, Incarnation(2)));
    EXPECT_TRUE(directory.find(engine)->listed.isLeaving);
}

// A gateway that has just started may hear that a server is leaving before it reads the list.
TEST(ServerDirectoryTest, acceptsThatAServerIsLeavingBeforeItsEntry)
{
    ServerDirectory directory(2s);
    EXPECT_TRUE(directory.recordLeaving(engine, Incarnation(1)));
    directory.removeExpired(start);
    directory.put(listed(1), start + 1s);
    EXPECT_TRUE(directory.find(engine)->listed.isLeaving);
}

TEST(ServerDirectoryTest, keepsPausesOfTheListedIncarnationOnly)
{
    ServerDirectory directory(2s);
    directory.put(listed(2), start);
    EXPECT_FALSE(directory.recordPause(engine, Incarnation(1), start + 1s));
    EXPECT_FALSE(directory.find(engine)->isPaused(start));
    EXPECT_TRUE(directory.recordPause(engine, Incarnation(2), start + 1s));
    EXPECT_FALSE(directory.recordPause(engine, Incarnation(2), start + 500ms));
    EXPECT_TRUE(directory.find(engine)->isPaused(start + 900ms));
    EXPECT_FALSE(directory.find(engine)->isPaused(start + 1s));
    directory.put(listed(3), start);
    EXPECT_FALSE(directory.find(engine)->isPaused(start));
}

// The list may come back from a copy that is older than the announcement, or than the end of the
// server.
TEST(ServerDirectoryTest, keepsThatAServerIsLeavingWhenAnOlderEntryReturns)
{
    ServerDirectory directory(2s);
    directory.put(listed(1), start);
    ListedServer leaving = listed(1);
    leaving.isLeaving = true;
    directory.put(leaving, start + 1s);
    directory.put(listed(1), start + 2s);
    EXPECT_TRUE(directory.find(engine)->listed.isLeaving);
    directory.remove(engine, start + 3s);
    directory.put(listed(1), start + 4s);
    EXPECT_TRUE(directory.find(engine)->listed.isLeaving);
    directory.put(listed(2), start + 5s);
    EXPECT_FALSE(directory.find(engine)->listed.isLeaving);
}

TEST(ServerDirectoryTest, marksTheServersOfEvacuatedZones)
{
    ServerDirectory directory(2s);
    ListedServer server = listed(1);
    server.zone = ZoneName("east");
    directory.put(server, start);
    EXPECT_FALSE(directory.find(engine)->isEvacuated);
    EXPECT_FALSE(directory.applyEvacuation(ZoneName("nowhere"), EvacuationChange::Revoked, start));
    EXPECT_TRUE(directory.applyEvacuation(ZoneName("nowhere"), EvacuationChange::Begun, start));
    EXPECT_FALSE(directory.find(engine)->isEvacuated);
    EXPECT_TRUE(directory.applyEvacuation(ZoneName("east"), EvacuationChange::Begun, start));
    EXPECT_FALSE(directory.applyEvacuation(ZoneName("east"), EvacuationChange::Begun, start));
    EXPECT_TRUE(directory.find(engine)->isEvacuated);
    // A server that starts or is listed again while its zone is evacuated.
    server.incarnation = Incarnation(2);
    directory.put(server, start);
    EXPECT_TRUE(directory.find(engine)->isEvacuated);
    directory.remove(engine, start);
    directory.put(server, start);
    EXPECT_TRUE(directory.find(engine)->isEvacuated);
    EXPECT_TRUE(directory.applyEvacuation(ZoneName("east"), EvacuationChange::Revoked, start));
    EXPECT_FALSE(directory.find(engine)->isEvacuated);
}

// The operators have not revoked an evacuation whose row is missing in a restored store.
TEST(ServerDirectoryTest, keepsAnEvacuationWhoseRowWasLostUntilItCanHaveBeenWrittenAgain)
{
    const ZoneName zone("east");
    ServerDirectory directory(2s);
    ListedServer server = listed(1);
    server.zone = zone;
    directory.put(server, start);
    directory.applyEvacuation(zone, EvacuationChange::Begun, start);
    EXPECT_FALSE(directory.applyEvacuation(zone, EvacuationChange::Lost, start));
    EXPECT_TRUE(directory.removeExpiredEvacuations(start + 29s).empty());
    EXPECT_TRUE(directory.find(engine)->isEvacuated);
    // Written again, then lost for good.
    EXPECT_FALSE(directory.applyEvacuation(zone, EvacuationChange::Begun, start + 29s));
    EXPECT_TRUE(directory.removeExpiredEvacuations(start + 100s).empty());
    directory.applyEvacuation(zone, EvacuationChange::Lost, start + 100s);
    EXPECT_EQ(directory.removeExpiredEvacuations(start + 130s), std::vector<ZoneName>{zone});
    EXPECT_FALSE(directory.find(engine)->isEvacuated);
    // One that isn't in force doesn't begin by being lost.
    EXPECT_FALSE(directory.applyEvacuation(zone, EvacuationChange::Lost, start + 140s));
    EXPECT_FALSE(directory.find(engine)->isEvacuated);
}

// An entry expires during an outage of the list although its server runs on. What the server has
// said holds for its incarnation, and requests sent to it still run.
TEST(ServerDirectoryTest, keepsWhatItKnowsOfAnIncarnationWhoseEntryReturns)
{
    ServerDirectory directory(2s);
    directory.put(listed(1), start);
    directory.recordPause(engine, Incarnation(1), start + 60s);
    directory.recordPeerPause(engine, Incarnation(1), start + 61s);
    directory.find(engine)->requestLimit.recordResponse(RequestRate(3), start, start);
    directory.find(engine)->permits.recordSent(start + 3s);
    directory.find(engine)->ownWork = {2, 30, 400};
    directory.remove(engine, start + 3s);
    ASSERT_EQ(directory.find(engine), nullptr);
    directory.put(listed(1), start + 4s);
    const ServerState &state = *directory.find(engine);
    EXPECT_EQ(state.pausedUntil, start + 60s);
    EXPECT_EQ(state.peerPausedUntil, start + 61s);
    EXPECT_TRUE(state.isLimited(start + 4s));
    EXPECT_EQ(state.permits.recentRequests(start + 3s, start + 3s), 1);
    EXPECT_EQ(state.ownWork.requestsInFlight, 2);
}

// The count of requests became negative, so that the server seemed to have room.
TEST(ServerDirectoryTest, countsWorkThatEndsWhileTheEntryIsMissing)
{
    for (const int nextIncarnation : {1, 2}) {
        ServerDirectory directory(2s);
        directory.put(listed(1), start);
        directory.find(engine)->ownWork = {2, 30, 400};
        directory.remove(engine, start);
        directory.releaseWork(engine, {1, 10, 100});
        directory.put(listed(nextIncarnation), start + 1s);
        EXPECT_EQ(directory.find(engine)->ownWork.requestsInFlight, 1);
        EXPECT_EQ(directory.find(engine)->ownWork.prefillTokens, 20);
        EXPECT_EQ(directory.find(engine)->ownWork.kvCacheTokens, 300);
        EXPECT_FALSE(directory.find(engine)->isPaused(start + 1s));
        directory.releaseWork(engine, {1, 20, 300});
        EXPECT_EQ(directory.find(engine)->ownWork.requestsInFlight, 0);
        directory.remove(engine, start + 2s);
        directory.put(listed(nextIncarnation), start + 3s);
        EXPECT_EQ(directory.find(engine)->ownWork.requestsInFlight, 0);
    }
}

TEST(ServerDirectoryTest, forgetsWhatAnEarlierIncarnationSaidAndWhatIsOld)
{
    ServerDirectory directory(2s);
    const auto pauseAndRemove = [&](std::int64_t incarnation, Instant now) {
        directory.put(listed(incarnation), now);
        directory.recordPause(engine, Incarnation(incarnation), now + 1h);
        directory.find(engine)->requestLimit.recordResponse(RequestRate(3), now, now);
        directory.remove(engine, now);
    };
    pauseAndRemove(1, start);
    directory.put(listed(2), start + 1s);
    EXPECT_FALSE(directory.find(engine)->isPaused(start + 1s));
    EXPECT_FALSE(directory.find(engine)->isLimited(start + 1s));
    pauseAndRemove(3, start + 2s);
    directory.removeExpired(start + 1min);
    directory.put(listed(3), start + 1min);
    EXPECT_TRUE(directory.find(engine)->isPaused(start + 1min));
    directory.remove(engine, start + 1min);
    directory.removeExpired(start + 10min);
    directory.put(listed(3), start + 10min);
    EXPECT_FALSE(directory.find(engine)->isPaused(start + 10min));
}
