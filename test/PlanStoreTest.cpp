#include "Apps/Gateway/PlanStore.h"
#include "Apps/Gateway/PlanningLease.h"
#include "FakeTable.h"

#include <gtest/gtest.h>

namespace quetzalyoke::test {

namespace {

constexpr std::size_t shards = 3;
const Instant start{std::chrono::hours(1)};
constexpr Duration leaseLength = std::chrono::seconds(5);

PlacementPlan planOn(const std::string &server)
{
    PlacementPlan plan;
    for (int i = 0; i < 10; ++i)
        plan.models[ModelName("model-" + std::to_string(i))][ServerName(server)] = "1";
    return plan;
}

TEST(PlanStoreTest, everyGatewayReadsTheSamePlanForAVersion)
{
    FakeTable table;
    PlanStore book(table, shards);
    PlanStore other(table, shards);
    book.commit(planOn("engine-1"), Version(7));
    book.refresh();
    other.refresh();
    EXPECT_EQ(book.current()->plan, planOn("engine-1"));
    EXPECT_EQ(book.current()->configurationVersion, Version(7));
    EXPECT_EQ(other.current()->plan, book.current()->plan);
    EXPECT_EQ(other.current()->version, book.current()->version);
}

TEST(PlanStoreTest, planFromAnOldReadingIsNotWritten)
{
    FakeTable table;
    PlanStore book(table, shards);
    PlanStore paused(table, shards);
    book.commit(planOn("engine-1"), Version(7));
    paused.refresh();
    book.refresh();
    book.commit(planOn("engine-2"), Version(8));
    paused.commit(planOn("engine-3"), Version(7));
    paused.refresh();
    EXPECT_EQ(paused.current()->plan, planOn("engine-2"));
    EXPECT_EQ(paused.current()->configurationVersion, Version(8));
}

TEST(PlanStoreTest, lostAnswerIsSettledByTheNextReading)
{
    FakeTable table;
    PlanStore book(table, shards);
    table.responsesToDrop = 1;
    EXPECT_THROW(book.commit(planOn("engine-1"), Version(7)), Error);
    book.refresh();
    EXPECT_EQ(book.current()->plan, planOn("engine-1"));
}

TEST(PlanningLeaseTest, oneHoldsUntilItsRowStaysUnchangedForTheLength)
{
    FakeTable table;
    PlanningLease first(table, InstanceId("gateway-1"), leaseLength);
    PlanningLease second(table, InstanceId("gateway-2"), leaseLength);
    EXPECT_TRUE(first.acquireOrRenew(start));
    EXPECT_FALSE(second.acquireOrRenew(start));
    EXPECT_TRUE(first.acquireOrRenew(start + leaseLength / 2));
    EXPECT_FALSE(second.acquireOrRenew(start + leaseLength));
    EXPECT_FALSE(second.acquireOrRenew(start + 2 * leaseLength));
    EXPECT_TRUE(second.acquireOrRenew(start + 2 * leaseLength + std::chrono::seconds(1)));
    EXPECT_FALSE(first.acquireOrRenew(start + 2 * leaseLength + std::chrono::seconds(1)));
}

} // namespace

} // namespace quetzalyoke::test
