#include "Serving/Placement/EngineTracker.h"

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
        server.loadedModels[model];
    return server;
}

EngineStatus status(std::int64_t orders, std::initializer_list<ModelName> models,
                    bool isBusy = false)
{
    EngineStatus status;
    status.acceptedOrders = orders;
    status.isExecutingOrder = isBusy;
    for (const ModelName &model : models)
        status.loadedModels[model];
    return status;
}

// A book that knows the engine's count of orders.
EngineTracker knownBook(std::int64_t orders, std::initializer_list<ModelName> models)
{
    EngineTracker book(listed(models), std::make_shared<const EngineSpec>(spec()));
    book.resetOrderState();
    book.onStatus(status(orders, models), start, start);
    return book;
}

} // namespace

TEST(EngineTrackerTest, asksForTheCountOfOrdersBeforeTheFirstOrder)
{
    EngineTracker book(listed({small}), std::make_shared<const EngineSpec>(spec()));
    book.resetOrderState();
    EXPECT_FALSE(book.isReadyForOrder(start));
    EXPECT_TRUE(book.needsStatus(start));
    book.onStatus(status(5, {small}), start, start);
    EXPECT_TRUE(book.isReadyForOrder(start));
    EXPECT_EQ(book.makeLoadOrder(large, {}).expectedOrderCount, 5);
}

// A former holder's order is under way: what it loads is not among the holdings yet.
TEST(EngineTrackerTest, waitsForAnEngineThatIsBusyForAnotherHolder)
{
    EngineTracker book(listed({small, large}), std::make_shared<const EngineSpec>(spec()));
    book.resetOrderState();
    book.onStatus(status(3, {small, large}, true), start, start);
    EXPECT_FALSE(book.isReadyForOrder(start + 10s));
    EXPECT_TRUE(book.needsStatus(start + 10s));
    book.onStatus(status(3, {small, large, other}), start + 10s, start + 10s);
    EXPECT_TRUE(book.isReadyForOrder(start + 10s));
    EXPECT_FALSE(book.hasRoomFor(ModelName("third"), {}));
    EXPECT_TRUE(book.hasLoaded(other, {}));
}

TEST(EngineTrackerTest, repeatsAnOrderWithoutAnAnswerAsItWas)
{
    EngineTracker book = knownBook(2, {small});
    const ConditionalEngineOrder load = book.makeLoadOrder(large, {});
    book.recordOrderSent(load, start);
    EXPECT_FALSE(book.orderToResend(start));
    book.onOrderOutcome(load, OrderOutcome::Unknown, start + 600ms);
    EXPECT_FALSE(book.isReadyForOrder(start + 1s));
    const auto repeat = book.orderToResend(start + 1s);
    ASSERT_TRUE(repeat);
    EXPECT_EQ(repeat->model, large);
    EXPECT_EQ(repeat->expectedOrderCount, 2);
}

// The first try was carried out after all: the second one's conflict must not free its memory.
TEST(EngineTrackerTest, countsALateOrderThatItsRepeatRanInto)
{
    EngineTracker book = knownBook(2, {small});
    const ConditionalEngineOrder load = book.makeLoadOrder(large, {});
    book.recordOrderSent(load, start);
    book.onOrderOutcome(load, OrderOutcome::Unknown, start + 600ms);
    book.recordOrderSent(load, start + 1s);
    book.onOrderOutcome(load, OrderOutcome::Conflict, start + 1s);
    EXPECT_FALSE(book.isReadyForOrder(start + 2s));
    EXPECT_TRUE(book.isLoading(large, {}));
    EXPECT_LT(book.freeMegabytes(), 90'000);
    book.onStatus(status(3, {small, large}), start + 3s, start + 3s);
    EXPECT_EQ(book.acceptedOrders(), 3);
    EXPECT_TRUE(book.hasLoaded(large, {}));
}

TEST(EngineTrackerTest, dropsAnOrderThatMetAConflictAtItsFirstTry)
{
    EngineTracker book = knownBook(2, {small});
    const ConditionalEngineOrder load = book.makeLoadOrder(large, {});
    book.recordOrderSent(load, start);
    book.onOrderOutcome(load, OrderOutcome::Conflict, start);
    EXPECT_FALSE(book.isLoading(large, {}));
    EXPECT_FALSE(book.isReadyForOrder(start + 200ms)); // until a report shows the count
    book.onStatus(status(4, {small, other}), start + 400ms, start + 400ms);
    EXPECT_TRUE(book.isReadyForOrder(start + 400ms));
    EXPECT_EQ(book.makeLoadOrder(large, {}).expectedOrderCount, 4);
}

TEST(EngineTrackerTest, countsALoadAsMemoryUntilItsEndIsSeen)
{
    EngineTracker book = knownBook(0, {small, other});
    const ConditionalEngineOrder load = book.makeLoadOrder(large, {});
    book.recordOrderSent(load, start);
    book.onOrderOutcome(load, OrderOutcome::Accepted, start);
    EXPECT_FALSE(book.hasRoomFor(ModelName("third"), {}));
    // Reports are old: this one shows the engine before the order.
    book.onStatus(status(0, {small, other}), start + 100ms, start + 100ms);
    EXPECT_TRUE(book.isLoading(large, {}));
    EXPECT_FALSE(book.isReadyForOrder(start + 100ms));
    book.onStatus(status(1, {small, other, large}), start + 2s, start + 2s);
    EXPECT_TRUE(book.hasLoaded(large, {}));
    EXPECT_TRUE(book.isReadyForOrder(start + 2s));
}

TEST(EngineTrackerTest, announcesAnAdapterOnlyOnceItIsLoaded)
{
    EngineTracker book = knownBook(0, {small});
    const ConditionalEngineOrder load = book.makeLoadOrder(small, adapter);
    book.recordOrderSent(load, start);
    book.onOrderOutcome(load, OrderOutcome::Accepted, start);
    EXPECT_FALSE(book.hasLoaded(small, adapter));
    EXPECT_EQ(book.adapterCount(), 1);
    ASSERT_TRUE(book.nextAdapterOrderEnd());
    book.completeAdapterOrders(*book.nextAdapterOrderEnd());
    EXPECT_TRUE(book.hasLoaded(small, adapter));
    EXPECT_EQ(book.adapterCount(), 1);
}

TEST(EngineTrackerTest, neverExceedsTheAdapterSlots)
{
    EngineTracker book = knownBook(0, {small});
    Instant now = start;
    for (const char *name : {"a1", "a2"}) {
        ASSERT_TRUE(book.hasRoomFor(small, AdapterName(name)));
        const ConditionalEngineOrder load = book.makeLoadOrder(small, AdapterName(name));
        book.recordOrderSent(load, now);
        book.onOrderOutcome(load, OrderOutcome::Accepted, now);
        now += 50ms;
        book.completeAdapterOrders(now);
    }
    EXPECT_FALSE(book.hasRoomFor(small, AdapterName("a3")));
}

// Load takes longer than the list's lag: when its end is seen, the list is still the one before.
TEST(EngineTrackerTest, doesNotTakeAListThatLagsForTheEngine)
{
    EngineTracker book = knownBook(0, {small, other});
    const ConditionalEngineOrder load = book.makeLoadOrder(large, {});
    book.recordOrderSent(load, start);
    book.onOrderOutcome(load, OrderOutcome::Accepted, start);
    book.onStatus(status(1, {small, other, large}), start + 5s, start + 5s);
    ASSERT_TRUE(book.hasLoaded(large, {}));
    book.updateListed(listed({small, other}));
    EXPECT_TRUE(book.hasLoaded(large, {}));
    EXPECT_FALSE(book.hasRoomFor(ModelName("third"), {}));
}

TEST(EngineTrackerTest, sendsNothingToAPausedEngine)
{
    EngineTracker book = knownBook(3, {small});
    book.setPausedUntil(start + 2s);
    EXPECT_FALSE(book.isReadyForOrder(start + 1s));
    EXPECT_TRUE(book.isReadyForOrder(start + 2s));
    const ConditionalEngineOrder load = book.makeLoadOrder(large, {});
    book.recordOrderSent(load, start + 2s);
    book.onOrderOutcome(load, OrderOutcome::Unknown, start + 2s);
    ASSERT_TRUE(book.orderToResend(start + 4s));
    book.setPausedUntil(start + 5s);
    EXPECT_FALSE(book.orderToResend(start + 4s));
    book.resetOrderState();
    EXPECT_FALSE(book.needsStatus(start + 4s));
    EXPECT_TRUE(book.needsStatus(start + 5s));
}

// An order without an answer is not sent again to an engine that has begun to leave.
TEST(EngineTrackerTest, sendsNothingToALeavingEngine)
{
    EngineTracker book = knownBook(3, {small});
    const ConditionalEngineOrder load = book.makeLoadOrder(large, {});
    book.recordOrderSent(load, start);
    book.onOrderOutcome(load, OrderOutcome::Unknown, start);
    ASSERT_TRUE(book.orderToResend(start + 2s));
    ListedServer leaving = listed({small});
    leaving.isLeaving = true;
    book.updateListed(leaving);
    EXPECT_FALSE(book.orderToResend(start + 2s));
    EXPECT_FALSE(book.isReadyForOrder(start + 2s));
    book.resetOrderState();
    EXPECT_FALSE(book.needsStatus(start + 2s));
}
