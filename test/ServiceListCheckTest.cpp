#include "Core/Configuration/ServiceListCheck.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <iterator>
#include <random>

using namespace quetzalyoke;

namespace {

const std::string validList
    = "[server e]\nkind = engine\nzone = a\nmemory_mb = 100\nfencing = checked\n"
      "[server c]\nkind = service\nzone = a\nservice = counter\n"
      "[model m]\nversion = 1\nmemory_mb = 40\ndepends_on = counter\n"
      "[adapter x]\nbase = m\nversion = 1\nmemory_mb = 5\n"
      "[service counter]\nnon_idempotent = POST /bookings*\n"
      "[account club]\nrate_tokens_per_s = 10\nburst_tokens = 20\n"
      "[open GET /services/counter/hours]\n";
constexpr int validLines = 23;

struct InvalidText
{
    std::string added; ///< Appended to the valid text, so it starts on line validLines + 1.
    int line = 0; ///< Within the added text.
    std::string what;
};

const std::vector<InvalidText> invalidTexts{
    {"[model n]\nversion = 1\nmemory_mb = 1\ndepends_on = ghost\n", 4, "depends on ghost"},
    {"[service s]\ndepends_on = t\n[service t]\ndepends_on = s\n"
     "[server d]\nkind = service\nzone = a\nservice = s\n"
     "[server f]\nkind = service\nzone = a\nservice = t\n",
     2, "s -> t -> s"},
    {"[model n]\nversion = 1\nmemory_mb = 1\ndepends_on = n\n", 4, "n -> n"},
    {"[model m]\nversion = 1\nmemory_mb = 1\n", 1, "[model m] is already on line 10"},
    {"[account club]\nrate_tokens_per_s = 1\nburst_tokens = 1\n", 1, "already on line"},
    {"[server e]\nkind = engine\nzone = a\nmemory_mb = 1\nfencing = ignored\n", 1, "already"},
    {"[adapter m]\nbase = m\nversion = 1\nmemory_mb = 1\n", 1, "the name m is already used"},
    {"[model counter]\nversion = 1\nmemory_mb = 1\n", 1, "the name counter is already used"},
    {"[model n]\nversion = 1\nmemory_mb = -3\n", 3, "memory_mb = -3 is out of range"},
    {"[model n]\nversion = 1\nmemory_mb = 99999999999999999999\n", 3, "is out of range"},
    {"[model n]\nversion = 1\nmemory_mb = 4 GB\n", 3, "memory_mb = 4 GB is no whole number"},
    {"[model n]\nmemory_mb = 1\n", 1, "[model] has no version"},
    {"[adapter y]\nbase = ghost\nversion = 1\nmemory_mb = 1\n", 2, "has the base ghost"},
    {"[server d]\nkind = service\nzone = a\nservice = ghost\n", 4, "runs ghost"},
    {"[server d]\nkind = toaster\n", 2, "kind = toaster is not known"},
    {"[service lonely]\n", 1, "service lonely has no server"},
    {"[model big]\nversion = 1\nmemory_mb = 200\n", 1, "(145 MB short)"},
    {"[model]\nversion = 1\nmemory_mb = 1\n", 1, "the name is missing"},
    {"[model a/b]\nversion = 1\nmemory_mb = 1\n", 1, "\"a/b\" is no valid name"},
    {"[model ..]\nversion = 1\nmemory_mb = 1\n", 1, "\"..\" is no valid name"},
    {"[model n]\nversion = 1\nmemory_mb = 1\ncolour = red\n", 4, "no setting named colour"},
    {"[model n]\nversion = 1\nversion = 2\nmemory_mb = 1\n", 3, "version is given twice"},
    {"[colour red]\n", 1, "unknown section [colour]"},
    {"[open FETCH /services/counter/x]\n", 1, "\"FETCH\" is no HTTP method"},
    {"[open GET services/counter/x]\n", 1, "does not start with /"},
    {"[open GET /services/ghost/x]\n", 1, "names no listed service"},
    {"[open GET /services/count*]\n", 1, "names no listed service"},
    {"[open GET /services/counter/*/x]\n", 1, "has a * before its end"},
    {"[open POST /v1/chat/completions]\n", 1, "is no service's"},
    {"[model n\n", 1, "heading has no ]"},
    {"[model n] version = 1\n", 1, "text after the heading"},
    {"neither\n", 1, "neither [section] nor name = value"},
};

bool hasProblem(const Problems &problems, int line, const std::string &what)
{
    return std::any_of(problems.begin(), problems.end(), [&](const Problem &it) {
        return it.line == line && it.what.find(what) != std::string::npos && !it.remedy.empty();
    });
}

// Returns whether every reference in an accepted list has a target. Independent of
// ServiceListCheck.
bool areReferencesValid(const ServiceList &list)
{
    const auto known = [&list](const std::string &name) {
        return list.models.contains(ModelName(name)) || list.services.contains(ServiceName(name));
    };
    for (const auto &[name, it] : list.models) {
        if (!std::all_of(it.dependencies.begin(), it.dependencies.end(), known))
            return false;
    }
    for (const auto &[name, it] : list.services) {
        if (!std::all_of(it.dependencies.begin(), it.dependencies.end(), known))
            return false;
    }
    for (const auto &[name, it] : list.adapters) {
        if (!list.models.contains(it.base) || known(name.text()))
            return false;
    }
    return std::all_of(list.servers.begin(), list.servers.end(), [&list](const auto &it) {
        return it.second.kind == ServerKind::Engine || list.services.contains(it.second.service);
    });
}

std::string mutate(std::string text, std::mt19937_64 &random)
{
    const auto pick = [&random](std::size_t n) { return random() % n; };
    const std::size_t mutations = 1 + pick(4);
    for (std::size_t i = 0; i < mutations && !text.empty(); ++i) {
        const std::size_t at = pick(text.size());
        switch (pick(4)) {
        case 0:
            text.erase(at, 1 + pick(20));
            break;
        case 1:
            text[at] = static_cast<char>(random());
            break;
        case 2:
            text.insert(at, text.substr(pick(text.size()), pick(40)));
            break;
        default:
            text.insert(at, 1, "[]=*/-\n 9"[pick(9)]);
        }
    }
    return text;
}

CheckedServiceList readExample(const std::string &name)
{
    std::ifstream file(std::string(EXAMPLES) + "/" + name);
    const std::string text{std::istreambuf_iterator<char>(file), {}};
    return ServiceListCheck::parseAndCheck(text, name);
}

// Expects that an example has the given sizes, is valid and has enough memory for a rolling update.
void expectExample(const std::string &name, std::size_t servers, std::size_t models,
                   std::size_t adapters, std::size_t accounts)
{
    const CheckedServiceList checked = readExample(name);
    EXPECT_EQ(formatProblems(checked.problems), "");
    EXPECT_EQ(formatProblems(checked.notices), "");
    EXPECT_EQ(checked.list.servers.size(), servers);
    EXPECT_EQ(checked.list.models.size(), models);
    EXPECT_EQ(checked.list.adapters.size(), adapters);
    EXPECT_EQ(checked.list.accounts.size(), accounts);
}

} // namespace

TEST(ServiceListCheckTest, acceptsValidList)
{
    const CheckedServiceList checked = ServiceListCheck::parseAndCheck(validList, "list.ini");
    EXPECT_EQ(formatProblems(checked.problems), "");
    EXPECT_EQ(formatProblems(checked.notices), "");
}

TEST(ServiceListCheckTest, reportsEachErrorWithItsLine)
{
    for (const InvalidText &it : invalidTexts) {
        const CheckedServiceList checked
            = ServiceListCheck::parseAndCheck(validList + it.added, "list.ini");
        EXPECT_TRUE(hasProblem(checked.problems, validLines + it.line, it.what))
            << it.added << "gave\n"
            << formatProblems(checked.problems);
    }
}

TEST(ServiceListCheckTest, reportsAllErrorsByLine)
{
    std::string text = validList;
    for (const InvalidText &it : invalidTexts)
        text += it.added;
    const CheckedServiceList checked = ServiceListCheck::parseAndCheck(text, "list.ini");
    EXPECT_GE(checked.problems.size(), invalidTexts.size());
    for (std::size_t i = 1; i < checked.problems.size(); ++i)
        EXPECT_LE(checked.problems[i - 1].line, checked.problems[i].line);
}

TEST(ServiceListCheckTest, rejectsEmptyText)
{
    EXPECT_EQ(ServiceListCheck::parseAndCheck("", "list.ini").problems.size(), 2U);
}

TEST(ServiceListCheckTest, reportsInsufficientMemoryForRollingUpdate)
{
    const std::string largeModel = "[model n]\nversion = 1\nmemory_mb = 50\n";
    const CheckedServiceList checked
        = ServiceListCheck::parseAndCheck(validList + largeModel, "list.ini");
    EXPECT_EQ(formatProblems(checked.problems), "");
    EXPECT_TRUE(hasProblem(checked.notices, validLines + 1, "(45 MB short)"));
}

TEST(ServiceListCheckTest, handlesLongDependencyChains)
{
    std::string text = validList;
    constexpr int n = 20'000;
    for (int i = 0; i < n; ++i) {
        text += "[service s" + std::to_string(i) + "]\ndepends_on = s" + std::to_string((i + 1) % n)
            + "\n";
    }
    const CheckedServiceList checked = ServiceListCheck::parseAndCheck(text, "list.ini");
    const auto cycles
        = std::count_if(checked.problems.begin(), checked.problems.end(), [](const Problem &it) {
              return it.what.find("cycle") != std::string::npos;
          });
    EXPECT_EQ(cycles, 1);
}

TEST(ServiceListCheckTest, neverAcceptsMutatedListWithDanglingReferences)
{
    constexpr std::uint64_t seed = 20261204;
    constexpr int iterations = 20'000;
    std::cout << "seed " << seed << '\n';
    std::mt19937_64 random(seed);
    int accepted = 0;
    for (int i = 0; i < iterations; ++i) {
        const std::string text = mutate(validList, random);
        const CheckedServiceList checked = ServiceListCheck::parseAndCheck(text, "list.ini");
        if (!checked.problems.empty())
            continue;
        ++accepted;
        ASSERT_TRUE(areReferencesValid(checked.list)) << text;
    }
    EXPECT_GT(accepted, 0);
    EXPECT_LT(accepted, iterations);
}

TEST(ServiceListCheckTest, acceptsExampleConfigurations)
{
    expectExample("quickstart.ini", 3, 2, 1, 2);
    expectExample("shire.ini", 24, 30, 120, 5);
    expectExample("cascade.ini", 13, 18, 60, 5);
}
