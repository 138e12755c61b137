#include "Serving/ServerBook.h"

#include <gtest/gtest.h>

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
