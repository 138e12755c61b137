#include "Core/Configuration/ServiceListDiff.h"
#include "Core/Configuration/VersionLine.h"

#include <gtest/gtest.h>

using namespace quetzalyoke;

namespace {

ServiceList parseList(const std::string &text)
{
    Problems problems;
    ServiceList list = ServiceList::parse(text, "list", problems);
    EXPECT_EQ(formatProblems(problems), "");
    return list;
}

const std::string before = "[model m]\nversion = 1\nmemory_mb = 10\n"
                           "[account c]\nrate_tokens_per_s = 1\nburst_tokens = 2\n";

} // namespace

TEST(ServiceListDiffTest, reportsAddedRemovedAndChangedEntries)
{
    const std::string after = "[model m]\nversion = 2\nmemory_mb = 10\ndepends_on = s\n"
                              "[service s]\n";
    EXPECT_EQ(formatChanges(diffServiceLists(parseList(before), parseList(after))),
              "- account c\n"
              "~ model m\n"
              "    depends_on: (nothing) -> s\n"
              "    version: 1 -> 2\n"
              "+ service s\n");
    EXPECT_TRUE(diffServiceLists(parseList(before), parseList("; a comment\n" + before)).empty());
}

TEST(VersionLineTest, readsAndRemovesAddedLine)
{
    const std::string shown = VersionLine::add(before, Version(17));
    EXPECT_EQ(VersionLine::read(shown), Version(17));
    EXPECT_EQ(VersionLine::remove(shown), before);
}

TEST(VersionLineTest, ignoresOtherFirstLines)
{
    for (const char *it : {"", "; version", "; version x\n", "; version 1 2\n", "; version -1\n",
                           "; version 99999999999999999999\n", "[model m]\n; version 3\n"}) {
        EXPECT_EQ(VersionLine::read(it), std::nullopt) << it;
        EXPECT_EQ(VersionLine::remove(it), it);
    }
}
