#include "ScenarioHost.h"

#include "Core/Error.h"

#include <CLI/CLI.hpp>

#include <csignal>
#include <iostream>
#include <random>
#include <sys/stat.h>

using namespace quetzalyoke;

namespace {

// Settings contain secrets, which the programs read only from files that other users can't access.
constexpr mode_t ownerOnly = 0077;

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("Runs one scenario with real processes", "quetzalyoke-scenario");
    std::string programs;
    std::string library;
    std::string file;
    std::int64_t seed = std::random_device()();
    app.add_option("--programs", programs, "folder of the programs")->required();
    app.add_option("--library", library, "folder of the Lua modules")->required();
    app.add_option("--seed", seed, "seed of the scenario's random numbers");
    app.add_option("FILE", file, "the scenario script")->required();
    CLI11_PARSE(app, argc, argv);

    std::signal(SIGPIPE, SIG_IGN);
    umask(ownerOnly);
    std::cout << file << " seed=" << seed << std::endl;
    try {
        scenarios::ScenarioHost host(programs);
        scenarios::LuaScript script(library);
        host.addHostFunctions(script);
        script.setSeed(seed);
        const std::string problem = script.run(file);
        if (problem.empty())
            return 0;
        std::cerr << problem << '\n';
        host.printLogs();
    } catch (const Error &e) {
        std::cerr << e.what() << '\n';
    }
    std::cerr << "FAILED " << file << " seed=" << seed << '\n';
    return 1;
}
