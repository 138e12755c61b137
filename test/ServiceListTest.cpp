#include "Core/Configuration/ServiceList.h"

#include <gtest/gtest.h>

using namespace quetzalyoke;

TEST(ServiceListTest, readsEveryKindOfSection)
{
    Problems problems;
    const std::string text = "[model m]\nversion = 1\nmemory_mb = 10\n"
                             "[adapter a]\nbase = m\nversion = 2\nmemory_mb = 1\n"
                             "[service s]\nnon_idempotent = POST /bookings*\n"
                             "[account c]\nrate_tokens_per_s = 100\nburst_tokens = 200\n"
                             "[server e]\nkind = engine\nzone = a\nmemory_mb = 20\n"
                             "fencing = checked\n"
                             "[open GET /services/s/hours]\n";
    const ServiceList list = ServiceList::parse(text, "list", problems);
    EXPECT_EQ(formatProblems(problems), "");
    EXPECT_EQ(list.models.at(ModelName("m")).memory, Megabytes(10));
    EXPECT_EQ(list.adapters.at(AdapterName("a")).base, ModelName("m"));
    const RoutePattern &pattern = list.services.at(ServiceName("s")).nonIdempotentRoutes.at(0);
    EXPECT_TRUE(pattern.matches("POST", "/bookings/7"));
    EXPECT_FALSE(pattern.matches("GET", "/bookings/7"));
    EXPECT_EQ(list.accounts.at(AccountId("c")).burst, Tokens(200));
    EXPECT_TRUE(list.servers.at(ServerName("e")).checksFencing);
    EXPECT_TRUE(list.isOpenRoute("GET", "/services/s/hours"));
    EXPECT_FALSE(list.isOpenRoute("POST", "/services/s/hours"));
}

TEST(ServiceListTest, reportsLineAndRemedyOfEachError)
{
    Problems problems;
    ServiceList::parse("[model m]\nversion = 1\nmemory_mb = -4\ncolour = red\n", "list", problems);
    ASSERT_EQ(problems.size(), 2U);
    EXPECT_EQ(problems[0].line, 3);
    EXPECT_EQ(problems[1].line, 4);
    EXPECT_NE(problems[1].remedy.find("memory_mb"), std::string::npos);
}

TEST(ServiceListTest, reportsLinesThatInihWouldTruncate)
{
    Problems problems;
    const std::string text = "[model m]\nversion = " + std::string(300, 'x') + "\nmemory_mb = 1\n";
    ServiceList::parse(text, "list", problems);
    ASSERT_FALSE(problems.empty());
    EXPECT_EQ(problems[0].line, 2);
}
