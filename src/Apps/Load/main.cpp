#include "Adapters/Process.h"
#include "Apps/Load/ClosedLoop.h"
#include "Apps/Load/OpenLoop.h"
#include "Apps/Load/Report.h"
#include "Core/Error.h"

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include <fstream>
#include <iostream>

using namespace quetzalyoke;

namespace {

constexpr int exitBadInput = 2;

// The command line.
struct Options
{
    std::vector<std::string> gateways;
    std::vector<std::string> standIns;
    std::vector<std::string> keys; // ACCOUNT=KEY, or a key alone in a closed loop
    std::string experiment;
    std::string jsonFile;
    std::uint64_t seed = 1;
    ClosedLoop closed;
    std::int64_t seconds = 10;
};

std::vector<Address> addresses(const std::vector<std::string> &texts)
{
    std::vector<Address> list;
    for (const std::string &it : texts)
        list.push_back(Address::parse(it));
    return list;
}

AccountKeys keysFrom(const std::vector<std::string> &texts)
{
    AccountKeys keys;
    for (const std::string &it : texts) {
        const auto at = it.find('=');
        if (at == std::string::npos)
            throw Error(ErrorKind::BadSettings, "--key " + it + " has no account; use ACCOUNT=KEY");
        keys[AccountId(it.substr(0, at))] = it.substr(at + 1);
    }
    return keys;
}

void write(const Options &options, const nlohmann::json &report)
{
    if (!options.jsonFile.empty())
        std::ofstream(options.jsonFile) << report.dump(2) << "\n";
}

int runExperiment(const Options &options)
{
    Problems problems;
    const std::string text = Process::readFile(options.experiment);
    const Experiment experiment
        = Experiment::read(IniDocument::parse(text, options.experiment, problems), problems);
    if (!problems.empty())
        throw Error(ErrorKind::BadSettings, formatProblems(problems));
    const AccountKeys keys = keysFrom(options.keys);
    for (const AccountWorkload &it : experiment.accounts) {
        if (!keys.contains(it.name)) {
            throw Error(ErrorKind::BadSettings,
                        "no key for account " + it.name.text() + "; add --key " + it.name.text()
                            + "=KEY");
        }
    }
    const auto requests = planRequests(experiment, options.seed);
    const auto outcomes = runOpenLoop(experiment, requests, addresses(options.gateways), keys);
    const auto record = StandInRunSummary::collect(addresses(options.standIns));
    nlohmann::json report = makeReport(experiment, requests, outcomes, record);
    report["seed"] = options.seed;
    std::cout << "seed " << options.seed << "\n" << describeReport(report);
    write(options, report);
    return 0;
}

int runClosedLoop(Options options)
{
    options.closed.addresses = addresses(options.gateways);
    options.closed.duration = std::chrono::seconds(options.seconds);
    if (!options.keys.empty())
        options.closed.key = options.keys.front().substr(options.keys.front().find('=') + 1);
    const nlohmann::json report = options.closed.run();
    std::cout << report.dump(2) << "\n";
    write(options, report);
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("Sends load and reports how it was served. With --experiment: an open loop from "
                 "an INI file; without: a closed loop of --connections callers.");
    Options options;
    options.closed.concurrency = 1;
    options.closed.promptTokens = 16;
    options.closed.outputTokens = 8;
    app.add_option("--gateways", options.gateways, "IP:PORT of gateways, or of engines directly")
        ->required()
        ->delimiter(',');
    app.add_option("--key", options.keys, "ACCOUNT=KEY; may be repeated")->delimiter(',');
    app.add_option("--json", options.jsonFile, "File that the report is written to as JSON");
    app.add_option("--experiment", options.experiment, "INI file of an open-loop experiment");
    app.add_option("--seed", options.seed, "Of the experiment's random numbers");
    app.add_option("--stand-ins", options.standIns, "IP:PORT of stand-ins whose records to check")
        ->delimiter(',');
    app.add_option("--connections", options.closed.concurrency, "Callers of the closed loop");
    app.add_option("--seconds", options.seconds, "Length of the closed loop");
    app.add_option("--model", options.closed.model, "Model that the closed loop asks for");
    app.add_option("--prompt-tokens", options.closed.promptTokens, "Of the closed loop");
    app.add_option("--answer-tokens", options.closed.outputTokens, "Of the closed loop");
    CLI11_PARSE(app, argc, argv);
    try {
        return options.experiment.empty() ? runClosedLoop(options) : runExperiment(options);
    } catch (const Error &e) {
        std::cerr << e.what() << "\n";
        return exitBadInput;
    }
}
