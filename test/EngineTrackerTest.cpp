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

// Returns a tracker that knows the engine's order count.
EngineTracker trackerWithKnownCount(std::int64_t orders, std::initializer_list<ModelName> models)
{
    EngineTracker tracker(listed(models), std::make_shared<const EngineSpec>(spec()));
    tracker.resetOrderState();
    tracker.onStatus(status(orders, models), start, start);
    return tracker;
}

} // namespace

TEST(EngineTrackerTest, requestsTheOrderCountBeforeTheFirstOrder)
{
    EngineTracker tracker(listed({small}), std::make_shared<const EngineSpec>(spec()));
    tracker.resetOrderState();
    EXPECT_FALSE(tracker.isReadyForOrder(start));
    EXPECT_TRUE(tracker.needsStatus(start));
    tracker.onStatus(status(5, {small}), start, start);
    EXPECT_TRUE(tracker.isReadyForOrder(start));
    EXPECT_EQ(tracker.makeLoadOrder(large, {}).expectedOrderCount, 5);
}

// An order of the former lease holder is being executed, and its model isn't reported as loaded
// yet. The memory that it takes must not be assigned again.
TEST(EngineTrackerTest, waitsWhileAnEngineExecutesAnotherHoldersOrder)
{
    EngineTracker tracker(listed({small, large}), std::make_shared<const EngineSpec>(spec()));
    tracker.resetOrderState();
    tracker.onStatus(status(3, {small, large}, true), start, start);
    EXPECT_FALSE(tracker.isReadyForOrder(start + 10s));
    EXPECT_TRUE(tracker.needsStatus(start + 10s));
    tracker.onStatus(status(3, {small, large, other}), start + 10s, start + 10s);
    EXPECT_TRUE(tracker.isReadyForOrder(start + 10s));
    EXPECT_FALSE(tracker.hasRoomFor(ModelName("third"), {}));
    EXPECT_TRUE(tracker.hasLoaded(other, {}));
}

TEST(EngineTrackerTest, resendsAnOrderWithoutAResponseUnchanged)
{
    EngineTracker tracker = trackerWithKnownCount(2, {small});
    const ConditionalEngineOrder load = tracker.makeLoadOrder(large, {});
    tracker.recordOrderSent(load, start);
    EXPECT_FALSE(tracker.orderToResend(start));
    tracker.onOrderOutcome(load, OrderOutcome::Unknown, start + 600ms);
    EXPECT_FALSE(tracker.isReadyForOrder(start + 1s));
    const auto resend = tracker.orderToResend(start + 1s);
    ASSERT_TRUE(resend);
    EXPECT_EQ(resend->model, large);
    EXPECT_EQ(resend->expectedOrderCount, 2);
}

// The first attempt was executed although its response was lost. The conflict that the second
// attempt meets must not free the memory of the model.
TEST(EngineTrackerTest, countsAnExecutedOrderWhoseRetryMeetsAConflict)
{
    EngineTracker tracker = trackerWithKnownCount(2, {small});
    const ConditionalEngineOrder load = tracker.makeLoadOrder(large, {});
    tracker.recordOrderSent(load, start);
    tracker.onOrderOutcome(load, OrderOutcome::Unknown, start + 600ms);
    tracker.recordOrderSent(load, start + 1s);
    tracker.onOrderOutcome(load, OrderOutcome::Conflict, start + 1s);
    EXPECT_FALSE(tracker.isReadyForOrder(start + 2s));
    EXPECT_TRUE(tracker.isLoading(large, {}));
    EXPECT_LT(tracker.freeMegabytes(), 90'000);
    tracker.onStatus(status(3, {small, large}), start + 3s, start + 3s);
    EXPECT_EQ(tracker.acceptedOrders(), 3);
    EXPECT_TRUE(tracker.hasLoaded(large, {}));
}

TEST(EngineTrackerTest, dropsAnOrderWhoseFirstAttemptMeetsAConflict)
{
    EngineTracker tracker = trackerWithKnownCount(2, {small});
    const ConditionalEngineOrder load = tracker.makeLoadOrder(large, {});
    tracker.recordOrderSent(load, start);
    tracker.onOrderOutcome(load, OrderOutcome::Conflict, start);
    EXPECT_FALSE(tracker.isLoading(large, {}));
    EXPECT_FALSE(tracker.isReadyForOrder(start + 200ms)); // until a status shows the count
    tracker.onStatus(status(4, {small, other}), start + 400ms, start + 400ms);
    EXPECT_TRUE(tracker.isReadyForOrder(start + 400ms));
    EXPECT_EQ(tracker.makeLoadOrder(large, {}).expectedOrderCount, 4);
}

TEST(EngineTrackerTest, countsTheMemoryOfALoadUntilItIsReported)
{
    EngineTracker tracker = trackerWithKnownCount(0, {small, other});
    const ConditionalEngineOrder load = tracker.makeLoadOrder(large, {});
    tracker.recordOrderSent(load, start);
    tracker.onOrderOutcome(load, OrderOutcome::Accepted, start);
    EXPECT_FALSE(tracker.hasRoomFor(ModelName("third"), {}));
    // Status reports lag: this one shows the engine before the order.
    tracker.onStatus(status(0, {small, other}), start + 100ms, start + 100ms);
    EXPECT_TRUE(tracker.isLoading(large, {}));
    EXPECT_FALSE(tracker.isReadyForOrder(start + 100ms));
    tracker.onStatus(status(1, {small, other, large}), start + 2s, start + 2s);
    EXPECT_TRUE(tracker.hasLoaded(large, {}));
    EXPECT_TRUE(tracker.isReadyForOrder(start + 2s));
}

TEST(EngineTrackerTest, showsAnAdapterOnlyOnceItIsLoaded)
{
    EngineTracker tracker = trackerWithKnownCount(0, {small});
    const ConditionalEngineOrder load = tracker.makeLoadOrder(small, adapter);
    tracker.recordOrderSent(load, start);
    tracker.onOrderOutcome(load, OrderOutcome::Accepted, start);
    EXPECT_FALSE(tracker.hasLoaded(small, adapter));
    EXPECT_EQ(tracker.adapterCount(), 1);
    ASSERT_TRUE(tracker.nextAdapterOrderEnd());
    tracker.completeAdapterOrders(*tracker.nextAdapterOrderEnd());
    EXPECT_TRUE(tracker.hasLoaded(small, adapter));
    EXPECT_EQ(tracker.adapterCount(), 1);
}

TEST(EngineTrackerTest, neverExceedsTheAdapterSlots)
{
    EngineTracker tracker = trackerWithKnownCount(0, {small});
    Instant now = start;
    for (const char *name : {"a1", "a2"}) {
        ASSERT_TRUE(tracker.hasRoomFor(small, AdapterName(name)));
        const ConditionalEngineOrder load = tracker.makeLoadOrder(small, AdapterName(name));
        tracker.recordOrderSent(load, now);
        tracker.onOrderOutcome(load, OrderOutcome::Accepted, now);
        now += 50ms;
        tracker.completeAdapterOrders(now);
    }
    EXPECT_FALSE(tracker.hasRoomFor(small, AdapterName("a3")));
}

// The list lags: after the status has shown the end of a load, the list may still show the models
// before it. The load must not be forgotten.
TEST(EngineTrackerTest, ignoresLoadedModelsOfAListThatLags)
{
    EngineTracker tracker = trackerWithKnownCount(0, {small, other});
    const ConditionalEngineOrder load = tracker.makeLoadOrder(large, {});
    tracker.recordOrderSent(load, start);
    tracker.onOrderOutcome(load, OrderOutcome::Accepted, start);
    tracker.onStatus(status(1, {small, other, large}), start + 5s, start + 5s);
    ASSERT_TRUE(tracker.hasLoaded(large, {}));
    tracker.updateListed(listed({small, other}));
    EXPECT_TRUE(tracker.hasLoaded(large, {}));
    EXPECT_FALSE(tracker.hasRoomFor(ModelName("third"), {}));
}

TEST(EngineTrackerTest, sendsNothingToAPausedEngine)
{
    EngineTracker tracker = trackerWithKnownCount(3, {small});
    tracker.setPausedUntil(start + 2s);
    EXPECT_FALSE(tracker.isReadyForOrder(start + 1s));
    EXPECT_TRUE(tracker.isReadyForOrder(start + 2s));
    const ConditionalEngineOrder load = tracker.makeLoadOrder(large, {});
    tracker.recordOrderSent(load, start + 2s);
    tracker.onOrderOutcome(load, OrderOutcome::Unknown, start + 2s);
    ASSERT_TRUE(tracker.orderToResend(start + 4s));
    tracker.setPausedUntil(start + 5s);
    EXPECT_FALSE(tracker.orderToResend(start + 4s));
    tracker.resetOrderState();
    EXPECT_FALSE(tracker.needsStatus(start + 4s));
    EXPECT_TRUE(tracker.needsStatus(start + 5s));
}

// An order without a response is not sent again to a leaving engine.
TEST(EngineTrackerTest, sendsNothingToALeavingEngine)
{
    EngineTracker tracker = trackerWithKnownCount(3, {small});
    const ConditionalEngineOrder load = tracker.makeLoadOrder(large, {});
    tracker.recordOrderSent(load, start);
    tracker.onOrderOutcome(load, OrderOutcome::Unknown, start);
    ASSERT_TRUE(tracker.orderToResend(start + 2s));
    ListedServer leaving = listed({small});
    leaving.isLeaving = true;
    tracker.updateListed(leaving);
    EXPECT_FALSE(tracker.orderToResend(start + 2s));
    EXPECT_FALSE(tracker.isReadyForOrder(start + 2s));
    tracker.resetOrderState();
    EXPECT_FALSE(tracker.needsStatus(start + 2s));
}

// Nothing may be sent to an evacuated zone, and what is loaded there serves nobody.
TEST(EngineTrackerTest, sendsNothingToAnEvacuatedEngine)
{
    EngineTracker tracker = trackerWithKnownCount(3, {small});
    const ConditionalEngineOrder load = tracker.makeLoadOrder(large, {});
    tracker.recordOrderSent(load, start);
    tracker.onOrderOutcome(load, OrderOutcome::Unknown, start);
    ASSERT_TRUE(tracker.orderToResend(start + 2s));
    tracker.setEvacuated(true);
    EXPECT_FALSE(tracker.servesDemand(start + 2s));
    EXPECT_FALSE(tracker.orderToResend(start + 2s));
    EXPECT_FALSE(tracker.isReadyForOrder(start + 2s));
    tracker.resetOrderState();
    EXPECT_FALSE(tracker.needsStatus(start + 2s));
    tracker.setEvacuated(false);
    EXPECT_TRUE(tracker.servesDemand(start + 2s));
    EXPECT_TRUE(tracker.needsStatus(start + 2s));
}
