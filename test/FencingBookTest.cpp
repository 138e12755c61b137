#include "Apps/Gateway/FencingBook.h"
#include "FakeTable.h"

#include <gtest/gtest.h>

namespace quetzalyoke::test {

namespace {

const ServerName server("engine-1");
const InstanceId agent("agent-engine-1");

TEST(FencingBookTest, agentKeepsItsEpochAndItsSuccessorGetsAHigherOne)
{
    FakeTable table;
    FencingBook book(table);
    EXPECT_EQ(book.mint(server, agent, Incarnation(10)).epoch, 1);
    EXPECT_EQ(book.mint(server, agent, Incarnation(10)).epoch, 1);
    EXPECT_EQ(book.mint(server, agent, Incarnation(11)).epoch, 2);
}

TEST(FencingBookTest, lostAnswerMintsOnce)
{
    FakeTable table;
    FencingBook book(table);
    table.lostAnswers = 1;
    EXPECT_EQ(book.mint(server, agent, Incarnation(10)).epoch, 1);
    EXPECT_EQ(FencingBook(table).mint(server, agent, Incarnation(10)).epoch, 1);
}

TEST(FencingBookTest, twoAgentsAtOnceGetDifferentEpochs)
{
    FakeTable table;
    FencingBook book(table);
    FencingBook other(table);
    std::int64_t otherEpoch = 0;
    table.beforeCommit = [&] { otherEpoch = other.mint(server, agent, Incarnation(20)).epoch; };
    EXPECT_EQ(book.mint(server, agent, Incarnation(10)).epoch, 2);
    EXPECT_EQ(otherEpoch, 1);
}

TEST(FencingBookTest, newestIsKnownFromTheTableAndNeverFalls)
{
    FakeTable table;
    FencingBook book(table);
    EXPECT_FALSE(book.newest(server));
    FencingBook(table).mint(server, agent, Incarnation(10));
    book.refresh();
    EXPECT_EQ(book.newest(server)->epoch, 1);
    table.outage = true;
    EXPECT_THROW(book.refresh(), Error);
    EXPECT_THROW(book.mint(server, agent, Incarnation(11)), Error);
    EXPECT_EQ(book.newest(server)->epoch, 1);
}

} // namespace

} // namespace quetzalyoke::test
