#include "Serving/Servers/ServerBook.h"

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
    server.holdings[model];
    return server;
}

OrderNotice notice(std::int64_t orders, bool isLoad)
{
    return {engine, Incarnation(1), orders, model, adapter, isLoad};
}

} // namespace

TEST(ServerBookTest, appliesOrdersBeforeTheListShowsThem)
{
    ServerBook book(2s);
    book.put(listed(1), start);
    EXPECT_FALSE(book.find(engine)->holds(model, adapter));
    book.addNotice(notice(4, true), start);
    EXPECT_TRUE(book.find(engine)->holds(model, adapter));
    // A list that lags must not take it back; a later order does.
    book.put(listed(1), start + 1s);
    EXPECT_TRUE(book.find(engine)->holds(model, adapter));
    book.addNotice(notice(5, false), start + 1s);
    book.addNotice(notice(4, true), start + 1s);
    EXPECT_FALSE(book.find(engine)->holds(model, adapter));
}

TEST(ServerBookTest, believesTheListOnceItMustHaveCaughtUp)
{
    ServerBook book(2s);
    book.put(listed(1), start);
    book.addNotice(notice(4, true), start);
    book.expire(start + 10s);
    EXPECT_FALSE(book.find(engine)->holds(model, adapter));
}

TEST(ServerBookTest, forgetsOrdersOfAnEarlierLife)
{
    ServerBook book(2s);
    book.put(listed(1), start);
    book.addNotice(notice(4, true), start);
    book.put(listed(2), start);
    EXPECT_FALSE(book.find(engine)->holds(model, adapter));
    book.put(listed(1), start); // a late entry of the earlier life
    EXPECT_EQ(book.find(engine)->listed.incarnation, Incarnation(2));
}

TEST(ServerBookTest, keepsServersThatLapsedWithTheListForTheGraceOnly)
{
    ServerBook book(2s);
    book.put(listed(1), start);
    book.noteListOutage(start);
    book.remove(engine, start + 1s);
    EXPECT_NE(book.find(engine), nullptr);
    EXPECT_TRUE(book.expire(start + 1500ms).empty());
    EXPECT_EQ(book.expire(start + 2100ms).size(), 1U);
    EXPECT_EQ(book.find(engine), nullptr);
}

TEST(ServerBookTest, dropsALeavingServerAtOnceWhateverTheListWentThrough)
{
    ServerBook book(2s);
    ListedServer leaving = listed(1);
    leaving.isLeaving = true;
    book.put(leaving, start);
    book.noteListOutage(start);
    book.remove(engine, start);
    EXPECT_EQ(book.find(engine), nullptr);
}

TEST(ServerBookTest, sumsTheWorkOfPeers)
{
    ServerBook book(2s);
    book.put(listed(1), start);
    const std::int32_t hash = serverHash(engine);
    book.setPeerWork(InstanceId("a"), {{hash, {2, 100, 300}}});
    book.setPeerWork(InstanceId("b"), {{hash, {1, 50, 100}}});
    EXPECT_EQ(book.find(engine)->total().running, 3);
    book.setPeerWork(InstanceId("a"), {});
    EXPECT_EQ(book.find(engine)->total().running, 1);
    EXPECT_EQ(book.find(engine)->total().prefillTokens, 50);
}

TEST(ServerBookTest, addsWhatPeersHaveAtAServer)
{
    ServerBook book(2s);
    book.put(listed(1), start);
    const std::int32_t hash = serverHash(engine);
    const InstanceId first("gateway-1");
    const InstanceId second("gateway-2");
    book.setPeerWork(first, {{hash, {2, 100, 1000}}, {hash + 1, {9, 9, 9}}});
    book.setPeerWork(second, {{hash, {1, 50, 500}}});
    EXPECT_EQ(book.find(engine)->total().running, 3);
    EXPECT_EQ(book.find(engine)->total().prefillTokens, 150);
    book.setPeerWork(first, {{hash, {1, 10, 20}}});
    EXPECT_EQ(book.find(engine)->total().running, 2);
    EXPECT_EQ(book.find(engine)->total().memoryTokens, 520);
    book.setPeerWork(first, {});
    EXPECT_EQ(book.find(engine)->total().running, 1);
    // What peers told of an earlier life counts no more; what they tell anew does.
    book.put(listed(2), start);
    EXPECT_EQ(book.find(engine)->total().running, 0);
    book.setPeerWork(second, {{hash, {4, 0, 0}}});
    EXPECT_EQ(book.find(engine)->total().running, 4);
    book.setPeerWork(second, {});
    EXPECT_EQ(book.find(engine)->total().running, 0);
}

TEST(ServerBookTest, findsServersByServiceAndModelWhateverChanged)
{
    std::mt19937 random(7);
    const auto pick
        = [&random](int most) { return std::uniform_int_distribution<int>(0, most)(random); };
    const auto named = [](const char *kind, int i) { return kind + std::to_string(i); };
    ServerBook book(2s);
    Instant now = start;
    for (int step = 0; step < 20'000; ++step) {
        now += 20ms;
        ListedServer server;
        server.id = ServerName(named("server-", pick(5)));
        server.incarnation = Incarnation(pick(3));
        server.service = ServiceName(named("service-", pick(1)));
        server.address = named("10.0.0.", pick(1));
        for (int i = 0; i < 2; ++i)
            server.holdings[ModelName(named("model-", pick(3)))];
        OrderNotice change{server.id,     server.incarnation,
                           step,          ModelName(named("model-", pick(3))),
                           AdapterName(), pick(1) == 0};
        switch (pick(5)) {
        case 0:
            book.remove(server.id, now);
            break;
        case 1:
            book.noteListOutage(now);
            break;
        case 2:
            book.addNotice(change, now);
            break;
        case 3:
            book.expire(now);
            break;
        default:
            book.put(server, now);
        }
        std::map<ServiceName, std::size_t> serving;
        std::map<ModelName, std::size_t> holding;
        for (const auto &[id, state] : book.servers()) {
            ++serving[state.listed.service];
            EXPECT_EQ(book.serving(state.listed.service).count(&state), 1U);
            for (const auto &[held, adapters] : state.holdings) {
                ++holding[held];
                EXPECT_EQ(book.holding(held).count(&state), 1U);
            }
        }
        for (int i = 0; i <= 3; ++i) {
            const ServiceName service(named("service-", i));
            const ModelName held(named("model-", i));
            ASSERT_EQ(book.serving(service).size(), serving[service]) << step;
            ASSERT_EQ(book.holding(held).size(), holding[held]) << step;
        }
    }
}

TEST(ServerBookTest, believesAServerThatSaysItLeavesWhateverOlderEntriesSay)
{
    ServerBook book(2s);
    book.put(listed(1), start);
    EXPECT_TRUE(book.noteLeaving(engine, Incarnation(1)));
    EXPECT_FALSE(book.noteLeaving(engine, Incarnation(1)));
    EXPECT_TRUE(book.find(engine)->listed.isLeaving);
    EXPECT_EQ(book.unlistedDepartures().size(), 1U);
    book.put(listed(1), start + 1s);
    EXPECT_TRUE(book.find(engine)->listed.isLeaving);
    // Its entry lapses with the list away and comes back from a peer that lags.
    book.noteListOutage(start + 2s);
    book.remove(engine, start + 2s);
    book.expire(start + 3s);
    book.put(listed(1), start + 60s);
    EXPECT_TRUE(book.find(engine)->listed.isLeaving);
    // Once the list says so, too, peers need not be told.
    ListedServer leaving = listed(1);
    leaving.isLeaving = true;
    book.put(leaving, start + 61s);
    EXPECT_TRUE(book.unlistedDepartures().empty());
}

TEST(ServerBookTest, usesTheNextLifeOfAServerThatLeft)
{
    ServerBook book(2s);
    book.put(listed(1), start);
    book.noteLeaving(engine, Incarnation(1));
    book.put(listed(2), start + 1s);
    EXPECT_FALSE(book.find(engine)->listed.isLeaving);
    EXPECT_FALSE(book.noteLeaving(engine, Incarnation(1)));
    EXPECT_FALSE(book.find(engine)->listed.isLeaving);
    EXPECT_TRUE(book.noteLeaving(engine, Incarnation(2)));
    EXPECT_TRUE(book.find(engine)->listed.isLeaving);
}

// A gateway that has just started hears of a departure before it reads the list.
TEST(ServerBookTest, takesADepartureBeforeTheEntryOfItsServer)
{
    ServerBook book(2s);
    EXPECT_TRUE(book.noteLeaving(engine, Incarnation(1)));
    book.expire(start);
    book.put(listed(1), start + 1s);
    EXPECT_TRUE(book.find(engine)->listed.isLeaving);
}

TEST(ServerBookTest, keepsPausesOfTheIncarnationListedOnly)
{
    ServerBook book(2s);
    book.put(listed(2), start);
    EXPECT_FALSE(book.notePause(engine, Incarnation(1), start + 1s));
    EXPECT_FALSE(book.find(engine)->isPaused(start));
    EXPECT_TRUE(book.notePause(engine, Incarnation(2), start + 1s));
    EXPECT_FALSE(book.notePause(engine, Incarnation(2), start + 500ms));
    EXPECT_TRUE(book.find(engine)->isPaused(start + 900ms));
    EXPECT_FALSE(book.find(engine)->isPaused(start + 1s));
    book.put(listed(3), start);
    EXPECT_FALSE(book.find(engine)->isPaused(start));
}
