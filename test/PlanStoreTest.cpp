#include "Apps/Gateway/PlanStore.h"
#include "Apps/Gateway/PlanningLease.h"
#include "FakeTable.h"

#include <gtest/gtest.h>

namespace quetzalyoke::test {

namespace {

constexpr std::size_t shardCount = 3;
const Instant start{std::chrono::hours(1)};
constexpr Duration leaseDuration = std::chrono::seconds(5);

PlacementPlan planOn(const std::string &server)
{
    PlacementPlan plan;
    for (int i = 0; i < 10; ++i)
        plan.models[ModelName("model-" + std::to_string(i))][ServerName(server)] = "1";
    return plan;
}

TEST(PlanStoreTest, allGatewaysReadTheSamePlanForAVersion)
{
    FakeTable table;
    PlanStore store(table, shardCount);
    PlanStore other(table, shardCount);
    store.commit(planOn("engine-1"), Version(7));
    store.refresh();
    other.refresh();
    EXPECT_EQ(store.current()->plan, planOn("engine-1"));
    EXPECT_EQ(store.current()->configurationVersion, Version(7));
    EXPECT_EQ(other.current()->plan, store.current()->plan);
    EXPECT_EQ(other.current()->version, store.current()->version);
}

TEST(PlanStoreTest, planBasedOnAnOldReadIsNotWritten)
{
    FakeTable table;
    PlanStore store(table, shardCount);
    PlanStore paused(table, shardCount);
    store.commit(planOn("engine-1"), Version(7));
    paused.refresh();
    store.refresh();
    store.commit(planOn("engine-2"), Version(8));
    paused.commit(planOn("engine-3"), Version(7));
    paused.refresh();
    EXPECT_EQ(paused.current()->plan, planOn("engine-2"));
    EXPECT_EQ(paused.current()->configurationVersion, Version(8));
}

TEST(PlanStoreTest, nextRefreshShowsTheOutcomeOfAWriteWithALostResponse)
{
    FakeTable table;
    PlanStore store(table, shardCount);
    table.responsesToDrop = 1;
    EXPECT_THROW(store.commit(planOn("engine-1"), Version(7)), Error);
    store.refresh();
    EXPECT_EQ(store.current()->plan, planOn("engine-1"));
}

TEST(PlanningLeaseTest, holderKeepsTheLeaseUntilItsRowIsUnchangedForTheDuration)
{
    FakeTable table;
    PlanningLease first(table, InstanceId("gateway-1"), leaseDuration);
    PlanningLease second(table, InstanceId("gateway-2"), leaseDuration);
    EXPECT_TRUE(first.acquireOrRenew(start));
    EXPECT_FALSE(second.acquireOrRenew(start));
    EXPECT_TRUE(first.acquireOrRenew(start + leaseDuration / 2));
    EXPECT_FALSE(second.acquireOrRenew(start + leaseDuration));
    EXPECT_FALSE(second.acquireOrRenew(start + 2 * leaseDuration));
    EXPECT_TRUE(second.acquireOrRenew(start + 2 * leaseDuration + std::chrono::seconds(1)));
    EXPECT_FALSE(first.acquireOrRenew(start + 2 * leaseDuration + std::chrono::seconds(1)));
}

} // namespace

} // namespace quetzalyoke::test
