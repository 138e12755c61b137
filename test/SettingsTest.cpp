#include "Adapters/Process.h"
#include "Apps/Agent/AgentSettings.h"
#include "Apps/Entry/EntrySettings.h"
#include "Apps/Gateway/GatewaySettings.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sys/stat.h>
#include <unistd.h>

using namespace quetzalyoke;

namespace {

constexpr mode_t ownerOnly = S_IRUSR | S_IWUSR;
constexpr mode_t readableByAll = ownerOnly | S_IRGRP | S_IROTH;

// A folder for this process only, since tests run in parallel.
struct TemporaryFolder
{
    TemporaryFolder() { std::filesystem::create_directories(path); }
    ~TemporaryFolder() { std::filesystem::remove_all(path); }

    const std::string path = testing::TempDir() + "settings-test-" + std::to_string(getpid()) + "/";
};

const TemporaryFolder folder;

std::string secretFile(const std::string &name, const std::string &text, mode_t mode = ownerOnly)
{
    std::string path = folder.path + name;
    std::ofstream(path) << text;
    chmod(path.c_str(), mode);
    return path;
}

const std::string secret = secretFile("settings-secret", "0123456789abcdef0123");

// Valid settings that both programs have in common; program-specific lines are appended.
std::string commonSettings(const std::string &section)
{
    return "[" + section
        + "]\ninstance = i-1\nzone = a\nlisten = 127.0.0.1:0\nhttp_listen = 127.0.0.1:0\n"
          "fleet_secret_file = "
        + secret + "\n";
}

std::string gatewayText()
{
    return commonSettings("gateway")
        + "platform_address = 127.0.0.1:9\noperator_secret_file = " + secret + "\n";
}

std::string agentText()
{
    return commonSettings("agent")
        + "server = e\nbackend = 127.0.0.1:9\nbackend_kind = engine\nmemory_mb = 10\n"
          "gateways = 127.0.0.1:9\n";
}

template<typename Settings>
Problems readProblems(const std::string &text)
{
    Problems problems;
    const IniDocument document = IniDocument::parse(text, "settings.ini", problems);
    Settings::read(document, problems);
    return problems;
}

struct InvalidLine
{
    std::string line;
    std::string what;
};

// Appends each line to a valid text and expects exactly one problem on that line, with a remedy.
template<typename Settings>
void expectProblemOnEachLine(const std::string &valid, const std::vector<InvalidLine> &invalidLines)
{
    EXPECT_EQ(formatProblems(readProblems<Settings>(valid)), "");
    const auto last = static_cast<int>(std::count(valid.begin(), valid.end(), '\n'));
    for (const InvalidLine &it : invalidLines) {
        const Problems problems = readProblems<Settings>(valid + it.line + "\n");
        ASSERT_EQ(problems.size(), 1U) << it.line << "\n" << formatProblems(problems);
        EXPECT_EQ(problems[0].line, last + 1) << problems[0].text();
        EXPECT_NE(problems[0].what.find(it.what), std::string::npos) << problems[0].text();
        EXPECT_FALSE(problems[0].remedy.empty());
    }
}

std::string withoutSetting(std::string text, const std::string &name)
{
    const auto at = text.find("\n" + name + " = ");
    return text.erase(at, text.find('\n', at + 1) - at);
}

} // namespace

TEST(SettingsTest, reportsTheLineOfAnInvalidGatewaySetting)
{
    expectProblemOnEachLine<GatewaySettings>(gatewayText(),
                                             {{"colour = red", "no setting named colour"},
                                              {"instance = i-2", "given twice"},
                                              {"peers = nowhere", "is no address"},
                                              {"connections = many", "is no whole number"},
                                              {"poll_interval_ms = 0", "is out of range"},
                                              {"freshness_ms = 400", "not above poll_interval_ms"},
                                              {"routing_policy = guess", "is not known"},
                                              {"[gateway]", "is there twice"},
                                              {"[agent]", "unknown section"},
                                              {"neither", "neither [section] nor name = value"}});
}

TEST(SettingsTest, reportsTheLineOfAnInvalidAgentSetting)
{
    expectProblemOnEachLine<AgentSettings>(agentText(),
                                           {{"colour = red", "no setting named colour"},
                                            {"queue_policy = guess", "is not known"},
                                            {"concurrency = -1", "is out of range"},
                                            {"predecessor_wait_ms = 100", "too short"},
                                            {"[gateway]", "unknown section"}});
}

TEST(SettingsTest, reportsTheLineOfAnInvalidEntryGatewaySetting)
{
    const std::string commonSettings
        = "[entry]\ninstance = i-1\nzone = a\nlisten_callers = 127.0.0.1:7001\n"
          "listen_readiness = 127.0.0.1:7002\nstore = 127.0.0.1:9\n";
    expectProblemOnEachLine<EntrySettings>(
        commonSettings + "listen_peers = 127.0.0.1:7003\n",
        {{"colour = red", "no setting named colour"},
         {"retry_share = 2", "is not a number within its bounds"},
         {"stop_grace_s = soon", "is not a number within its bounds"},
         {"descriptors = 1", "is out of range"},
         {"memory_mb = 3", "is not a number within its bounds"},
         {"memory_mb = {{limits.memory_mb}}", "is not a number within its bounds"},
         {"[gateway]", "unknown section"}});
    for (const char *usedAddress : {"127.0.0.1:7001", "127.0.0.1:7002"}) {
        const Problems problems
            = readProblems<EntrySettings>(commonSettings + "listen_peers = " + usedAddress + "\n");
        ASSERT_EQ(problems.size(), 1U);
        EXPECT_NE(problems[0].what.find("are the same"), std::string::npos);
    }
}

// The platform may leave the memory empty or state it as a fraction. Callers' connections, the
// requests being handled and the descriptors for everything else must fit into all descriptors.
TEST(SettingsTest, derivesLimitsOfAnEntryGatewayFromItsMachine)
{
    const auto settingsWith = [](const std::string &lines) {
        Problems problems;
        const auto settings = EntrySettings::read(
            IniDocument::parse("[entry]\ninstance = i-1\nzone = a\nlisten_callers = 127.0.0.1:1\n"
                               "listen_readiness = 127.0.0.1:2\nlisten_peers = 127.0.0.1:3\n"
                               "store = 127.0.0.1:9\n"
                                   + lines,
                               "f", problems),
            problems);
        EXPECT_TRUE(problems.empty()) << lines;
        return settings;
    };
    EXPECT_EQ(settingsWith("").memoryMb, 1024);
    EXPECT_EQ(settingsWith("memory_mb =\n").memoryMb, 1024);
    EXPECT_EQ(settingsWith("memory_mb = 120\n").memoryMb, 120);
    EXPECT_EQ(settingsWith("memory_mb = 119.5\n").memoryMb, 119.5);
    const EntrySettings smallest = settingsWith("descriptors = 3075\n");
    EXPECT_EQ(smallest.maxCallerConnections, 1675U);
    EXPECT_EQ(smallest.maxRequests, 1240U);
    for (const int descriptors : {256, 400, 2800, 4096, 1'048'576}) {
        const EntrySettings settings
            = settingsWith("descriptors = " + std::to_string(descriptors) + "\n");
        EXPECT_GT(settings.maxRequests, 0U);
        EXPECT_LT(settings.maxCallerConnections + settings.maxRequests,
                  static_cast<std::size_t>(descriptors));
    }
}

TEST(SettingsTest, reportsMissingSettings)
{
    for (const char *it : {"instance", "zone", "listen", "http_listen", "fleet_secret_file",
                           "platform_address", "operator_secret_file"})
        EXPECT_EQ(readProblems<GatewaySettings>(withoutSetting(gatewayText(), it)).size(), 1U)
            << it;
    for (const char *it : {"instance", "zone", "listen", "server", "backend", "backend_kind",
                           "memory_mb", "fleet_secret_file"})
        EXPECT_EQ(readProblems<AgentSettings>(withoutSetting(agentText(), it)).size(), 1U) << it;
    EXPECT_EQ(readProblems<GatewaySettings>("").size(), 1U);
    EXPECT_EQ(readProblems<AgentSettings>("").size(), 1U);
}

TEST(SettingsTest, rejectsSecretsThatAreReadableByOthersOrTooShort)
{
    const std::string readableByOthers
        = secretFile("settings-open", "0123456789abcdef0123", readableByAll);
    const std::string text = withoutSetting(gatewayText(), "operator_secret_file");
    for (const std::string &it : {readableByOthers, secretFile("settings-short", "short"),
                                  testing::TempDir() + "settings-missing"}) {
        std::string completeText = text;
        completeText += "operator_secret_file = " + it + "\n";
        const Problems problems = readProblems<GatewaySettings>(completeText);
        ASSERT_EQ(problems.size(), 1U) << it;
        EXPECT_EQ(problems[0].text().find("0123456789"), std::string::npos);
    }
}
