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

LoadedModelChange notice(std::int64_t orders, bool isLoad)
{
    return {engine, Incarnation(1), orders, model, adapter, isLoad};
}

} // namespace

TEST(ServerDirectoryTest, appliesOrdersBeforeTheListShowsThem)
{
    ServerDirectory book(2s);
    book.put(listed(1), start);
    EXPECT_FALSE(book.find(engine)->hasLoaded(model, adapter));
    book.addLoadedModelChange(notice(4, true), start);
    EXPECT_TRUE(book.find(engine)->hasLoaded(model, adapter));
    // A list that lags must not take it back; a later order does.
    book.put(listed(1), start + 1s);
    EXPECT_TRUE(book.find(engine)->hasLoaded(model, adapter));
    book.addLoadedModelChange(notice(5, false), start + 1s);
    book.addLoadedModelChange(notice(4, true), start + 1s);
    EXPECT_FALSE(book.find(engine)->hasLoaded(model, adapter));
}

TEST(ServerDirectoryTest, believesTheListOnceItMustHaveCaughtUp)
{
    ServerDirectory book(2s);
    book.put(listed(1), start);
    book.addLoadedModelChange(notice(4, true), start);
    book.removeExpired(start + 10s);
    EXPECT_FALSE(book.find(engine)->hasLoaded(model, adapter));
}

TEST(ServerDirectoryTest, forgetsOrdersOfAnEarlierLife)
{
    ServerDirectory book(2s);
    book.put(listed(1), start);
    book.addLoadedModelChange(notice(4, true), start);
    book.put(listed(2), start);
    EXPECT_FALSE(book.find(engine)->hasLoaded(model, adapter));
    book.put(listed(1), start); // a late entry of the earlier life
    EXPECT_EQ(book.find(engine)->listed.incarnation, Incarnation(2));
}

TEST(ServerDirectoryTest, keepsServersThatLapsedWithTheListForTheGraceOnly)
{
    ServerDirectory book(2s);
    book.put(listed(1), start);
    book.recordListOutage(start);
    book.remove(engine, start + 1s);
    EXPECT_NE(book.find(engine), nullptr);
    EXPECT_TRUE(book.removeExpired(start + 1500ms).empty());
    EXPECT_EQ(book.removeExpired(start + 2100ms).size(), 1U);
    EXPECT_EQ(book.find(engine), nullptr);
}

TEST(ServerDirectoryTest, dropsALeavingServerAtOnceWhateverTheListWentThrough)
{
    ServerDirectory book(2s);
    ListedServer leaving = listed(1);
    leaving.isLeaving = true;
    book.put(leaving, start);
    book.recordListOutage(start);
    book.remove(engine, start);
    EXPECT_EQ(book.find(engine), nullptr);
}

TEST(ServerDirectoryTest, sumsTheWorkOfPeers)
{
    ServerDirectory book(2s);
    book.put(listed(1), start);
    const std::int32_t hash = serverHash(engine);
    book.setPeerWork(InstanceId("a"), {{hash, {2, 100, 300}}});
    book.setPeerWork(InstanceId("b"), {{hash, {1, 50, 100}}});
    EXPECT_EQ(book.find(engine)->totalWork().requestsInFlight, 3);
    book.setPeerWork(InstanceId("a"), {});
    EXPECT_EQ(book.find(engine)->totalWork().requestsInFlight, 1);
    EXPECT_EQ(book.find(engine)->totalWork().prefillTokens, 50);
}

TEST(ServerDirectoryTest, addsWhatPeersHaveAtAServer)
{
    ServerDirectory book(2s);
    book.put(listed(1), start);
    const std::int32_t hash = serverHash(engine);
    const InstanceId first("gateway-1");
    const InstanceId second("gateway-2");
    book.setPeerWork(first, {{hash, {2, 100, 1000}}, {hash + 1, {9, 9, 9}}});
    book.setPeerWork(second, {{hash, {1, 50, 500}}});
    EXPECT_EQ(book.find(engine)->totalWork().requestsInFlight, 3);
    EXPECT_EQ(book.find(engine)->totalWork().prefillTokens, 150);
    book.setPeerWork(first, {{hash, {1, 10, 20}}});
    EXPECT_EQ(book.find(engine)->totalWork().requestsInFlight, 2);
    EXPECT_EQ(book.find(engine)->totalWork().kvCacheTokens, 520);
    book.setPeerWork(first, {});
    EXPECT_EQ(book.find(engine)->totalWork().requestsInFlight, 1);
    // What peers told of an earlier life counts no more; what they tell anew does.
    book.put(listed(2), start);
    EXPECT_EQ(book.find(engine)->totalWork().requestsInFlight, 0);
    book.setPeerWork(second, {{hash, {4, 0, 0}}});
    EXPECT_EQ(book.find(engine)->totalWork().requestsInFlight, 4);
    book.setPeerWork(second, {});
    EXPECT_EQ(book.find(engine)->totalWork().requestsInFlight, 0);
}

TEST(ServerDirectoryTest, findsServersByServiceAndModelWhateverChanged)
{
    std::mt19937 random(7);
    const auto pick
        = [&random](int most) { return std::uniform_int_distribution<int>(0, most)(random); };
    const auto named = [](const char *kind, int i) { return kind + std::to_string(i); };
    ServerDirectory book(2s);
    Instant now = start;
    for (int step = 0; step < 20'000; ++step) {
        now += 20ms;
        ListedServer server;
        server.id = ServerName(named("server-", pick(5)));
        server.incarnation = Incarnation(pick(3));
        server.service = ServiceName(named("service-", pick(1)));
        server.address = named("10.0.0.", pick(1));
        for (int i = 0; i < 2; ++i)
            server.loadedModels[ModelName(named("model-", pick(3)))];
        LoadedModelChange change{server.id,     server.incarnation,
                                 step,          ModelName(named("model-", pick(3))),
                                 AdapterName(), pick(1) == 0};
        switch (pick(5)) {
        case 0:
            book.remove(server.id, now);
            break;
        case 1:
            book.recordListOutage(now);
            break;
        case 2:
            book.addLoadedModelChange(change, now);
            break;
        case 3:
            book.removeExpired(now);
            break;
        default:
            book.put(server, now);
        }
        std::map<ServiceName, std::size_t> serving;
        std::map<ModelName, std::size_t> holding;
        for (const auto &[id, state] : book.servers()) {
            ++serving[state.listed.service];
            EXPECT_EQ(book.serversOfService(state.listed.service).count(&state), 1U);
            for (const auto &[held, adapters] : state.loadedModels) {
                ++holding[held];
                EXPECT_EQ(book.serversWithModel(held).count(&state), 1U);
            }
        }
        for (int i = 0; i <= 3; ++i) {
            const ServiceName service(named("service-", i));
            const ModelName held(named("model-", i));
            ASSERT_EQ(book.serversOfService(service).size(), serving[service]) << step;
            ASSERT_EQ(book.serversWithModel(held).size(), holding[held]) << step;
        }
    }
}

TEST(ServerDirectoryTest, believesAServerThatSaysItLeavesWhateverOlderEntriesSay)
{
    ServerDirectory book(2s);
    book.put(listed(1), start);
    EXPECT_TRUE(book.recordLeaving(engine, Incarnation(1)));
    EXPECT_FALSE(book.recordLeaving(engine, Incarnation(1)));
    EXPECT_TRUE(book.find(engine)->listed.isLeaving);
    EXPECT_EQ(book.unlistedLeavingServers().size(), 1U);
    book.put(listed(1), start + 1s);
    EXPECT_TRUE(book.find(engine)->listed.isLeaving);
    // Its entry lapses with the list away and comes back from a peer that lags.
    book.recordListOutage(start + 2s);
    book.remove(engine, start + 2s);
    book.removeExpired(start + 3s);
    book.put(listed(1), start + 60s);
    EXPECT_TRUE(book.find(engine)->listed.isLeaving);
    // Once the list says so, too, peers need not be told.
    ListedServer leaving = listed(1);
    leaving.isLeaving = true;
    book.put(leaving, start + 61s);
    EXPECT_TRUE(book.unlistedLeavingServers().empty());
}

TEST(ServerDirectoryTest, usesTheNextLifeOfAServerThatLeft)
{
    ServerDirectory book(2s);
    book.put(listed(1), start);
    book.recordLeaving(engine, Incarnation(1));
    book.put(listed(2), start + 1s);
    EXPECT_FALSE(book.find(engine)->listed.isLeaving);
    EXPECT_FALSE(book.recordLeaving(engine, Incarnation(1)));
    EXPECT_FALSE(book.find(engine)->listed.isLeaving);
    EXPECT_TRUE(book.recordLeaving(engine, Incarnation(2)));
    EXPECT_TRUE(book.find(engine)->listed.isLeaving);
}

// A gateway that has just started hears of a departure before it reads the list.
TEST(ServerDirectoryTest, takesADepartureBeforeTheEntryOfItsServer)
{
    ServerDirectory book(2s);
    EXPECT_TRUE(book.recordLeaving(engine, Incarnation(1)));
    book.removeExpired(start);
    book.put(listed(1), start + 1s);
    EXPECT_TRUE(book.find(engine)->listed.isLeaving);
}

TEST(ServerDirectoryTest, keepsPausesOfTheIncarnationListedOnly)
{
    ServerDirectory book(2s);
    book.put(listed(2), start);
    EXPECT_FALSE(book.recordPause(engine, Incarnation(1), start + 1s));
    EXPECT_FALSE(book.find(engine)->isPaused(start));
    EXPECT_TRUE(book.recordPause(engine, Incarnation(2), start + 1s));
    EXPECT_FALSE(book.recordPause(engine, Incarnation(2), start + 500ms));
    EXPECT_TRUE(book.find(engine)->isPaused(start + 900ms));
    EXPECT_FALSE(book.find(engine)->isPaused(start + 1s));
    book.put(listed(3), start);
    EXPECT_FALSE(book.find(engine)->isPaused(start));
}
