#include "Apps/Gateway/FencingStore.h"
#include "FakeTable.h"

#include <gtest/gtest.h>

namespace quetzalyoke::test {

namespace {

const ServerName server("engine-1");
const InstanceId agent("agent-engine-1");

TEST(FencingStoreTest, agentKeepsItsEpochAndItsNextIncarnationGetsAHigherOne)
{
    FakeTable table;
    FencingStore store(table);
    EXPECT_EQ(store.acquireEpoch(server, agent, Incarnation(10)).epoch, 1);
    EXPECT_EQ(store.acquireEpoch(server, agent, Incarnation(10)).epoch, 1);
    EXPECT_EQ(store.acquireEpoch(server, agent, Incarnation(11)).epoch, 2);
}

TEST(FencingStoreTest, lostResponseIssuesOnlyOneEpoch)
{
    FakeTable table;
    FencingStore store(table);
    table.responsesToDrop = 1;
    EXPECT_EQ(store.acquireEpoch(server, agent, Incarnation(10)).epoch, 1);
    EXPECT_EQ(FencingStore(table).acquireEpoch(server, agent, Incarnation(10)).epoch, 1);
}

TEST(FencingStoreTest, concurrentAgentsGetDifferentEpochs)
{
    FakeTable table;
    FencingStore store(table);
    FencingStore other(table);
    std::int64_t otherEpoch = 0;
    table.beforeCommit
        = [&] { otherEpoch = other.acquireEpoch(server, agent, Incarnation(20)).epoch; };
    EXPECT_EQ(store.acquireEpoch(server, agent, Incarnation(10)).epoch, 2);
    EXPECT_EQ(otherEpoch, 1);
}

TEST(FencingStoreTest, newestEpochIsReadFromTheTableAndNeverDecreases)
{
    FakeTable table;
    FencingStore store(table);
    EXPECT_FALSE(store.newestEpoch(server));
    FencingStore(table).acquireEpoch(server, agent, Incarnation(10));
    store.refresh();
    EXPECT_EQ(store.newestEpoch(server)->epoch, 1);
    table.outage = true;
    EXPECT_THROW(store.refresh(), Error);
    EXPECT_THROW(store.acquireEpoch(server, agent, Incarnation(11)), Error);
    EXPECT_EQ(store.newestEpoch(server)->epoch, 1);
}

} // namespace

} // namespace quetzalyoke::test
