#include "Adapters/Process.h"

#include "Core/Error.h"

#include <CLI/CLI.hpp>
#include <glog/logging.h>

#include <array>
#include <atomic>
#include <csignal>
#include <fstream>
#include <iostream>
#include <poll.h>
#include <sstream>
#include <unistd.h>

namespace quetzalyoke {

namespace {

constexpr const char *productVersion = "0.1.0";
constexpr int exitBadSettings = 2;

std::atomic<int> stopSignals{0};
std::array<int, 2> stopPipe{-1, -1};

void onStopSignal(int)
{
    ++stopSignals;
    const char byte = 's';
    [[maybe_unused]] const auto n = write(stopPipe[1], &byte, 1);
}

void installSignalHandlers()
{
    if (pipe(stopPipe.data()) != 0)
        throw Error(ErrorKind::BadSettings, "can't create a pipe; raise the limit of open files");
    struct sigaction action
    { };
    action.sa_handler = onStopSignal;
    sigaction(SIGTERM, &action, nullptr);
    sigaction(SIGINT, &action, nullptr);
    action.sa_handler = SIG_IGN;
    sigaction(SIGPIPE, &action, nullptr);
}

} // namespace

int Process::run(int argc, char **argv, const std::string &name, const SettingsReader &reader,
                 const MainFunction &mainFunction)
{
    CLI::App app(name);
    std::string path;
    bool checkOnly = false;
    app.add_option("--settings", path, "INI file with the settings")
        ->envname("QUETZALYOKE_SETTINGS")
        ->required();
    app.add_flag("--check-settings", checkOnly, "check the settings file and exit");
    app.set_version_flag("--version", name + " " + productVersion);
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError &e) {
        return app.exit(e) == 0 ? 0 : exitBadSettings;
    }

    FLAGS_logtostderr = true;
    google::InitGoogleLogging(name.c_str());
    try {
        Problems problems;
        const IniDocument document = IniDocument::parse(readFile(path), path, problems);
        reader(document, problems);
        if (!problems.empty()) {
            std::cerr << formatProblems(problems);
            return exitBadSettings;
        }
        if (checkOnly) {
            std::cout << path << ": settings are valid\n";
            return 0;
        }
        installSignalHandlers();
        incarnation();
        return mainFunction();
    } catch (const Error &e) {
        LOG(ERROR) << "event=start_failed program=" << name << " reason=\"" << e.what() << '"';
        return e.kind() == ErrorKind::BadSettings ? exitBadSettings : 1;
    }
}

std::string Process::version()
{
    return productVersion;
}

bool Process::isStopRequested()
{
    return stopSignals > 0;
}

bool Process::isForcedStopRequested()
{
    return stopSignals > 1;
}

bool Process::waitForStop(std::chrono::milliseconds timeout)
{
    pollfd entry{stopPipe[0], POLLIN, 0};
    if (stopSignals == 0)
        poll(&entry, 1, static_cast<int>(timeout.count()));
    return isStopRequested();
}

Instant Process::now()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

Incarnation Process::incarnation()
{
    static const Incarnation value(std::chrono::duration_cast<std::chrono::microseconds>(
                                       std::chrono::system_clock::now().time_since_epoch())
                                       .count());
    return value;
}

std::string Process::readFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file)
        throw Error(ErrorKind::BadSettings,
                    path + " can't be read; check the path and its permissions");
    std::ostringstream buf;
    buf << file.rdbuf();
    std::string text = buf.str();
    while (!text.empty() && std::isspace(static_cast<unsigned char>(text.back())))
        text.pop_back();
    return text;
}

} // namespace quetzalyoke
