#include "Apps/Gateway/FencingStore.h"
#include "FakeTable.h"

#include <gtest/gtest.h>

namespace quetzalyoke::test {

namespace {

const ServerName server("engine-1");
const InstanceId agent("agent-engine-1");

TEST(FencingStoreTest, agentKeepsItsEpochAndItsSuccessorGetsAHigherOne)
{
    FakeTable table;
    FencingStore book(table);
    EXPECT_EQ(book.acquireEpoch(server, agent, Incarnation(10)).epoch, 1);
    EXPECT_EQ(book.acquireEpoch(server, agent, Incarnation(10)).epoch, 1);
    EXPECT_EQ(book.acquireEpoch(server, agent, Incarnation(11)).epoch, 2);
}

TEST(FencingStoreTest, lostAnswerMintsOnce)
{
    FakeTable table;
    FencingStore book(table);
    table.responsesToDrop = 1;
    EXPECT_EQ(book.acquireEpoch(server, agent, Incarnation(10)).epoch, 1);
    EXPECT_EQ(FencingStore(table).acquireEpoch(server, agent, Incarnation(10)).epoch, 1);
}

TEST(FencingStoreTest, twoAgentsAtOnceGetDifferentEpochs)
{
    FakeTable table;
    FencingStore book(table);
    FencingStore other(table);
    std::int64_t otherEpoch = 0;
    table.beforeCommit
        = [&] { otherEpoch = other.acquireEpoch(server, agent, Incarnation(20)).epoch; };
    EXPECT_EQ(book.acquireEpoch(server, agent, Incarnation(10)).epoch, 2);
    EXPECT_EQ(otherEpoch, 1);
}

TEST(FencingStoreTest, newestIsKnownFromTheTableAndNeverFalls)
{
    FakeTable table;
    FencingStore book(table);
    EXPECT_FALSE(book.newestEpoch(server));
    FencingStore(table).acquireEpoch(server, agent, Incarnation(10));
    book.refresh();
    EXPECT_EQ(book.newestEpoch(server)->epoch, 1);
    table.outage = true;
    EXPECT_THROW(book.refresh(), Error);
    EXPECT_THROW(book.acquireEpoch(server, agent, Incarnation(11)), Error);
    EXPECT_EQ(book.newestEpoch(server)->epoch, 1);
}

} // namespace

} // namespace quetzalyoke::test
