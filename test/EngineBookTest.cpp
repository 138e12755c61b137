#include "Serving/Placement/EngineBook.h"

#include <gtest/gtest.h>

using namespace quetzalyoke;
using namespace std::chrono_literals;

namespace {

const ModelName small("small");
const ModelName large("large");
const ModelName other("other");
const AdapterName adapter("a1");
const Instant start{1h};

EngineSpec spec()
{
    EngineSpec spec;
    spec.megabytes = 220'000;
    spec.adapterSlots = 2;
    for (const ModelName &name : {small, large, other})
        spec.models[name] = {name, 70'000, 66, 4, Milliseconds(1200)};
    return spec;
}

ListedServer listed(std::initializer_list<ModelName> models)
{
    ListedServer server;
    server.id = ServerName("engine-1");
    server.incarnation = Incarnation(7);
    for (const ModelName &model : models)
        server.holdings[model];
    return server;
}

EngineStatus status(std::int64_t orders, std::initializer_list<ModelName> models,
                    bool isBusy = false)
{
    EngineStatus status;
    status.orders = orders;
    status.isBusy = isBusy;
    for (const ModelName &model : models)
        status.holdings[model];
    return status;
}

// A book that knows the engine's count of orders.
EngineBook knownBook(std::int64_t orders, std::initializer_list<ModelName> models)
{
    EngineBook book(listed(models), std::make_shared<const EngineSpec>(spec()));
    book.forgetOrders();
    book.takeStatus(status(orders, models), start, start);
    return book;
}

} // namespace

TEST(EngineBookTest, asksForTheCountOfOrdersBeforeTheFirstOrder)
{
    EngineBook book(listed({small}), std::make_shared<const EngineSpec>(spec()));
    book.forgetOrders();
    EXPECT_FALSE(book.isFree(start));
    EXPECT_TRUE(book.needsStatus(start));
    book.takeStatus(status(5, {small}), start, start);
    EXPECT_TRUE(book.isFree(start));
    EXPECT_EQ(book.makeLoad(large, {}).expectedOrders, 5);
}

// A former holder's order is under way: what it loads is not among the holdings yet.
TEST(EngineBookTest, waitsForAnEngineThatIsBusyForAnotherHolder)
{
    EngineBook book(listed({small, large}), std::make_shared<const EngineSpec>(spec()));
    book.forgetOrders();
    book.takeStatus(status(3, {small, large}, true), start, start);
    EXPECT_FALSE(book.isFree(start + 10s));
    EXPECT_TRUE(book.needsStatus(start + 10s));
    book.takeStatus(status(3, {small, large, other}), start + 10s, start + 10s);
    EXPECT_TRUE(book.isFree(start + 10s));
    EXPECT_FALSE(book.fits(ModelName("third"), {}));
    EXPECT_TRUE(book.holds(other, {}));
}

TEST(EngineBookTest, repeatsAnOrderWithoutAnAnswerAsItWas)
{
    EngineBook book = knownBook(2, {small});
    const EngineCommand load = book.makeLoad(large, {});
    book.noteSent(load, start);
    EXPECT_FALSE(book.repeat(start));
    book.takeOutcome(load, OrderOutcome::Unknown, start + 600ms);
    EXPECT_FALSE(book.isFree(start + 1s));
    const auto repeat = book.repeat(start + 1s);
    ASSERT_TRUE(repeat);
    EXPECT_EQ(repeat->model, large);
    EXPECT_EQ(repeat->expectedOrders, 2);
}

// The first try was carried out after all: the second one's conflict must not free its memory.
TEST(EngineBookTest, countsALateOrderThatItsRepeatRanInto)
{
    EngineBook book = knownBook(2, {small});
    const EngineCommand load = book.makeLoad(large, {});
    book.noteSent(load, start);
    book.takeOutcome(load, OrderOutcome::Unknown, start + 600ms);
    book.noteSent(load, start + 1s);
    book.takeOutcome(load, OrderOutcome::Conflict, start + 1s);
    EXPECT_FALSE(book.isFree(start + 2s));
    EXPECT_TRUE(book.isLoading(large, {}));
    EXPECT_LT(book.freeMegabytes(), 90'000);
    book.takeStatus(status(3, {small, large}), start + 3s, start + 3s);
    EXPECT_EQ(book.orders(), 3);
    EXPECT_TRUE(book.holds(large, {}));
}

TEST(EngineBookTest, dropsAnOrderThatMetAConflictAtItsFirstTry)
{
    EngineBook book = knownBook(2, {small});
    const EngineCommand load = book.makeLoad(large, {});
    book.noteSent(load, start);
    book.takeOutcome(load, OrderOutcome::Conflict, start);
    EXPECT_FALSE(book.isLoading(large, {}));
    EXPECT_FALSE(book.isFree(start + 200ms)); // until a report shows the count
    book.takeStatus(status(4, {small, other}), start + 400ms, start + 400ms);
    EXPECT_TRUE(book.isFree(start + 400ms));
    EXPECT_EQ(book.makeLoad(large, {}).expectedOrders, 4);
}

TEST(EngineBookTest, countsALoadAsMemoryUntilItsEndIsSeen)
{
    EngineBook book = knownBook(0, {small, other});
    const EngineCommand load = book.makeLoad(large, {});
    book.noteSent(load, start);
    book.takeOutcome(load, OrderOutcome::Accepted, start);
    EXPECT_FALSE(book.fits(ModelName("third"), {}));
    // Reports are old: this one shows the engine before the order.
    book.takeStatus(status(0, {small, other}), start + 100ms, start + 100ms);
    EXPECT_TRUE(book.isLoading(large, {}));
    EXPECT_FALSE(book.isFree(start + 100ms));
    book.takeStatus(status(1, {small, other, large}), start + 2s, start + 2s);
    EXPECT_TRUE(book.holds(large, {}));
    EXPECT_TRUE(book.isFree(start + 2s));
}

TEST(EngineBookTest, announcesAnAdapterOnlyOnceItIsLoaded)
{
    EngineBook book = knownBook(0, {small});
    const EngineCommand load = book.makeLoad(small, adapter);
    book.noteSent(load, start);
    book.takeOutcome(load, OrderOutcome::Accepted, start);
    EXPECT_FALSE(book.holds(small, adapter));
    EXPECT_EQ(book.adapterCount(), 1);
    ASSERT_TRUE(book.nextChange());
    book.advance(*book.nextChange());
    EXPECT_TRUE(book.holds(small, adapter));
    EXPECT_EQ(book.adapterCount(), 1);
}

TEST(EngineBookTest, neverExceedsTheAdapterSlots)
{
    EngineBook book = knownBook(0, {small});
    Instant now = start;
    for (const char *name : {"a1", "a2"}) {
        ASSERT_TRUE(book.fits(small, AdapterName(name)));
        const EngineCommand load = book.makeLoad(small, AdapterName(name));
        book.noteSent(load, now);
        book.takeOutcome(load, OrderOutcome::Accepted, now);
        now += 50ms;
        book.advance(now);
    }
    EXPECT_FALSE(book.fits(small, AdapterName("a3")));
}

// Load takes longer than the list's lag: when its end is seen, the list is still the one before.
TEST(EngineBookTest, doesNotTakeAListThatLagsForTheEngine)
{
    EngineBook book = knownBook(0, {small, other});
    const EngineCommand load = book.makeLoad(large, {});
    book.noteSent(load, start);
    book.takeOutcome(load, OrderOutcome::Accepted, start);
    book.takeStatus(status(1, {small, other, large}), start + 5s, start + 5s);
    ASSERT_TRUE(book.holds(large, {}));
    book.takeListed(listed({small, other}));
    EXPECT_TRUE(book.holds(large, {}));
    EXPECT_FALSE(book.fits(ModelName("third"), {}));
}

TEST(EngineBookTest, sendsNothingToAPausedEngine)
{
    EngineBook book = knownBook(3, {small});
    book.setPausedUntil(start + 2s);
    EXPECT_FALSE(book.isFree(start + 1s));
    EXPECT_TRUE(book.isFree(start + 2s));
    const EngineCommand load = book.makeLoad(large, {});
    book.noteSent(load, start + 2s);
    book.takeOutcome(load, OrderOutcome::Unknown, start + 2s);
    ASSERT_TRUE(book.repeat(start + 4s));
    book.setPausedUntil(start + 5s);
    EXPECT_FALSE(book.repeat(start + 4s));
    book.forgetOrders();
    EXPECT_FALSE(book.needsStatus(start + 4s));
    EXPECT_TRUE(book.needsStatus(start + 5s));
}

// An order without an answer is not sent again to an engine that has begun to leave.
TEST(EngineBookTest, sendsNothingToALeavingEngine)
{
    EngineBook book = knownBook(3, {small});
    const EngineCommand load = book.makeLoad(large, {});
    book.noteSent(load, start);
    book.takeOutcome(load, OrderOutcome::Unknown, start);
    ASSERT_TRUE(book.repeat(start + 2s));
    ListedServer leaving = listed({small});
    leaving.isLeaving = true;
    book.takeListed(leaving);
    EXPECT_FALSE(book.repeat(start + 2s));
    EXPECT_FALSE(book.isFree(start + 2s));
    book.forgetOrders();
    EXPECT_FALSE(book.needsStatus(start + 2s));
}
