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

// Of this process alone, as tests run beside each other.
struct OwnFolder
{
    OwnFolder() { std::filesystem::create_directories(path); }
    ~OwnFolder() { std::filesystem::remove_all(path); }

    const std::string path = testing::TempDir() + "settings-test-" + std::to_string(getpid()) + "/";
};

const OwnFolder folder;

std::string secretFile(const std::string &name, const std::string &text, mode_t mode = ownerOnly)
{
    std::string path = folder.path + name;
    std::ofstream(path) << text;
    chmod(path.c_str(), mode);
    return path;
}

const std::string secret = secretFile("settings-secret", "0123456789abcdef0123");

// Settings without mistakes; the program's own lines follow.
std::string common(const std::string &section)
{
    return "[" + section
        + "]\ninstance = i-1\nzone = a\nlisten = 127.0.0.1:0\nhttp_listen = 127.0.0.1:0\n"
          "fleet_secret_file = "
        + secret + "\n";
}

std::string gatewayText()
{
    return common("gateway") + "platform_address = 127.0.0.1:9\noperator_secret_file = " + secret
        + "\n";
}

std::string agentText()
{
    return common("agent")
        + "server = e\nbackend = 127.0.0.1:9\nbackend_kind = engine\nmemory_mb = 10\n"
          "gateways = 127.0.0.1:9\n";
}

template<typename Settings>
Problems problemsOf(const std::string &text)
{
    Problems problems;
    const IniDocument document = IniDocument::parse(text, "settings.ini", problems);
    Settings::read(document, problems);
    return problems;
}

struct WrongLine
{
    std::string line;
    std::string what;
};

// Adds each line to a valid text and expects one problem on it, with a remedy.
template<typename Settings>
void expectRefused(const std::string &valid, const std::vector<WrongLine> &wrongLines)
{
    EXPECT_EQ(formatProblems(problemsOf<Settings>(valid)), "");
    const auto last = static_cast<int>(std::count(valid.begin(), valid.end(), '\n'));
    for (const WrongLine &it : wrongLines) {
        const Problems problems = problemsOf<Settings>(valid + it.line + "\n");
        ASSERT_EQ(problems.size(), 1U) << it.line << "\n" << formatProblems(problems);
        EXPECT_EQ(problems[0].line, last + 1) << problems[0].text();
        EXPECT_NE(problems[0].what.find(it.what), std::string::npos) << problems[0].text();
        EXPECT_FALSE(problems[0].remedy.empty());
    }
}

std::string without(std::string text, const std::string &name)
{
    const auto at = text.find("\n" + name + " = ");
    return text.erase(at, text.find('\n', at + 1) - at);
}

} // namespace

TEST(SettingsTest, namesTheLineOfAWrongSettingOfTheGateway)
{
    expectRefused<GatewaySettings>(gatewayText(),
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

TEST(SettingsTest, namesTheLineOfAWrongSettingOfTheAgent)
{
    expectRefused<AgentSettings>(agentText(),
                                 {{"colour = red", "no setting named colour"},
                                  {"queue_policy = guess", "is not known"},
                                  {"concurrency = -1", "is out of range"},
                                  {"predecessor_wait_ms = 100", "too short"},
                                  {"[gateway]", "unknown section"}});
}

TEST(SettingsTest, namesTheLineOfAWrongSettingOfTheEntryGateway)
{
    const std::string common
        = "[entry]\ninstance = i-1\nzone = a\nlisten_callers = 127.0.0.1:7001\n"
          "listen_readiness = 127.0.0.1:7002\nstore = 127.0.0.1:9\n";
    expectRefused<EntrySettings>(common + "listen_peers = 127.0.0.1:7003\n",
                                 {{"colour = red", "no setting named colour"},
                                  {"retry_share = 2", "is not a number within its bounds"},
                                  {"stop_grace_s = soon", "is not a number within its bounds"},
                                  {"descriptors = 1", "is out of range"},
                                  {"[gateway]", "unknown section"}});
    for (const char *taken : {"127.0.0.1:7001", "127.0.0.1:7002"}) {
        const Problems problems
            = problemsOf<EntrySettings>(common + "listen_peers = " + taken + "\n");
        ASSERT_EQ(problems.size(), 1U);
        EXPECT_NE(problems[0].what.find("are the same"), std::string::npos);
    }
}

TEST(SettingsTest, refusesWhatIsMissing)
{
    for (const char *it : {"instance", "zone", "listen", "http_listen", "fleet_secret_file",
                           "platform_address", "operator_secret_file"})
        EXPECT_EQ(problemsOf<GatewaySettings>(without(gatewayText(), it)).size(), 1U) << it;
    for (const char *it : {"instance", "zone", "listen", "server", "backend", "backend_kind",
                           "memory_mb", "fleet_secret_file"})
        EXPECT_EQ(problemsOf<AgentSettings>(without(agentText(), it)).size(), 1U) << it;
    EXPECT_EQ(problemsOf<GatewaySettings>("").size(), 1U);
    EXPECT_EQ(problemsOf<AgentSettings>("").size(), 1U);
}

TEST(SettingsTest, refusesASecretThatOthersCanReadOrGuess)
{
    const std::string open = secretFile("settings-open", "0123456789abcdef0123", readableByAll);
    const std::string text = without(gatewayText(), "operator_secret_file");
    for (const std::string &it :
         {open, secretFile("settings-short", "short"), testing::TempDir() + "settings-missing"}) {
        std::string whole = text;
        whole += "operator_secret_file = " + it + "\n";
        const Problems problems = problemsOf<GatewaySettings>(whole);
        ASSERT_EQ(problems.size(), 1U) << it;
        EXPECT_EQ(problems[0].text().find("0123456789"), std::string::npos);
    }
}
