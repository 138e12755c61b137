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

// The values of the command line's options.
struct Options
{
    std::vector<std::string> gateways;
    std::vector<std::string> standIns;
    std::vector<std::string> keys; // ACCOUNT=KEY, or only the key in a closed loop
    std::string experiment;
    std::string jsonFile;
    std::uint64_t seed = 1;
    ClosedLoop closedLoop;
    std::int64_t seconds = 10;
};

std::vector<Address> parseAddresses(const std::vector<std::string> &texts)
{
    std::vector<Address> parsed;
    for (const std::string &it : texts)
        parsed.push_back(Address::parse(it));
    return parsed;
}

AccountKeys parseKeys(const std::vector<std::string> &texts)
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

void writeJsonFile(const Options &options, const nlohmann::json &report)
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
    const AccountKeys keys = parseKeys(options.keys);
    for (const AccountWorkload &it : experiment.accounts) {
        if (!keys.contains(it.name)) {
            throw Error(ErrorKind::BadSettings,
                        "no key for account " + it.name.text() + "; add --key " + it.name.text()
                            + "=KEY");
        }
    }
    const auto requests = planRequests(experiment, options.seed);
    const auto outcomes = runOpenLoop(experiment, requests, parseAddresses(options.gateways), keys);
    const auto summary = StandInRunSummary::collect(parseAddresses(options.standIns));
    nlohmann::json report = makeReport(experiment, requests, outcomes, summary);
    report["seed"] = options.seed;
    std::cout << "seed " << options.seed << "\n" << describeReport(report);
    writeJsonFile(options, report);
    return 0;
}

int runClosedLoop(Options options)
{
    options.closedLoop.addresses = parseAddresses(options.gateways);
    options.closedLoop.duration = std::chrono::seconds(options.seconds);
    if (!options.keys.empty())
        options.closedLoop.key = options.keys.front().substr(options.keys.front().find('=') + 1);
    const nlohmann::json report = options.closedLoop.run();
    std::cout << report.dump(2) << "\n";
    writeJsonFile(options, report);
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("Sends load and reports how it was served. With --experiment: an open loop from "
                 "an INI file; without: a closed loop of --connections callers.");
    Options options;
    options.closedLoop.concurrency = 1;
    options.closedLoop.promptTokens = 16;
    options.closedLoop.outputTokens = 8;
    app.add_option("--gateways", options.gateways, "IP:PORT of gateways, or of engines directly")
        ->required()
        ->delimiter(',');
    app.add_option("--key", options.keys, "ACCOUNT=KEY; may be repeated")->delimiter(',');
    app.add_option("--json", options.jsonFile, "File that the report is written to as JSON");
    app.add_option("--experiment", options.experiment, "INI file of an open-loop experiment");
    app.add_option("--seed", options.seed, "Seed of the experiment's random numbers");
    app.add_option("--stand-ins", options.standIns, "IP:PORT of stand-ins whose records to check")
        ->delimiter(',');
    app.add_option("--connections", options.closedLoop.concurrency,
                   "Number of callers of the closed loop");
    app.add_option("--seconds", options.seconds, "Duration of the closed loop in seconds");
    app.add_option("--model", options.closedLoop.model, "Model that the closed loop requests");
    app.add_option("--prompt-tokens", options.closedLoop.promptTokens,
                   "Prompt tokens of each request of the closed loop");
    app.add_option("--answer-tokens", options.closedLoop.outputTokens,
                   "Response tokens of each request of the closed loop");
    CLI11_PARSE(app, argc, argv);
    try {
        return options.experiment.empty() ? runClosedLoop(options) : runExperiment(options);
    } catch (const Error &e) {
        std::cerr << e.what() << "\n";
        return exitBadInput;
    }
}
