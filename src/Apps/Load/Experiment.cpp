#include "Apps/Load/Experiment.h"

#include "Core/Configuration/IniSectionReader.h"

namespace quetzalyoke {

namespace {

constexpr std::int64_t maxTokens = 1'000'000'000;
constexpr double secondsPerMinute = 60;
constexpr double percent = 100;

Duration readSeconds(IniSectionReader &reader, const std::string &name,
                     const std::optional<std::int64_t> &fallback = {})
{
    return std::chrono::seconds(reader.number(name, 0, 86'400, fallback));
}

// Appends \a prefix followed by each number from 1 to \a count: for "model-" and 3, appends
// model-1, model-2 and model-3.
void addNumbered(std::vector<std::string> &names, const std::string &prefix, std::int64_t count)
{
    for (std::int64_t i = 1; i <= count; ++i)
        names.push_back(prefix + std::to_string(i));
}

void readExperiment(Experiment &experiment, IniSectionReader &reader)
{
    experiment.duration = readSeconds(reader, "seconds");
    experiment.timeToFirstTokenLimit = reader.milliseconds("first_token_ms", 1, 600'000, 930);
    experiment.interTokenLatencyLimit = reader.milliseconds("between_tokens_ms", 1, 600'000, 47);
    experiment.accelerators = reader.number("accelerators", 1, 100'000);
    experiment.concurrency = reader.number("callers", 1, 8192, 512);
    experiment.zipfExponent
        = static_cast<double>(reader.number("zipf_percent", 0, 1000, 100)) / percent;
    experiment.serviceCallPath = reader.text("booking_path", "");
    addNumbered(experiment.targets, "model-", reader.number("models", 0, 100'000, 0));
    addNumbered(experiment.targets, "adapter-", reader.number("adapters", 0, 100'000, 0));
}

// Returns whether the section is read by scripts/experiment, which starts the processes.
bool isDriverSection(const std::string &kind)
{
    return kind == "fleet" || kind == "engine" || kind == "platform" || kind == "variant";
}

AccountWorkload readAccount(const std::string &name, IniSectionReader &reader)
{
    AccountWorkload workload;
    workload.name = AccountId(name);
    workload.rate = TokensPerSecond(reader.number("rate_tokens_per_s", 1, maxTokens));
    workload.burst = Tokens(reader.number("burst_tokens", 1, maxTokens));
    workload.requestsPerSecond
        = static_cast<double>(reader.number("requests_per_minute", 0, 10'000'000))
        / secondsPerMinute;
    workload.serviceCallsPerSecond
        = static_cast<double>(reader.number("bookings_per_minute", 0, 10'000'000, 0))
        / secondsPerMinute;
    workload.promptTokens = reader.number("prompt_tokens", 1, 1'000'000, 100);
    workload.prefixTokens = reader.number("prefix_tokens", 0, 1'000'000, 0);
    workload.distinctPrefixes = reader.number("prefixes", 1, 1'000'000, 1);
    workload.outputTokens = reader.number("answer_tokens", 1, 1'000'000, 32);
    return workload;
}

RateMultiplier readMultiplier(const std::string &name, IniSectionReader &reader)
{
    RateMultiplier multiplier;
    multiplier.name = name;
    multiplier.from = readSeconds(reader, "from_s");
    multiplier.until = readSeconds(reader, "until_s");
    multiplier.factor = static_cast<double>(reader.number("times", 1, 1000));
    return multiplier;
}

} // namespace

Experiment Experiment::read(const IniDocument &document, Problems &problems)
{
    Experiment experiment;
    for (const IniSection &it : document.sections()) {
        IniSectionReader reader(document.file(), it, problems);
        if (it.kind == "experiment") {
            experiment.name = it.name;
            readExperiment(experiment, reader);
        } else if (it.kind == "account") {
            experiment.accounts.push_back(readAccount(it.name, reader));
        } else if (it.kind == "burst") {
            experiment.accountMultipliers.push_back(readMultiplier(it.name, reader));
        } else if (it.kind == "rise") {
            experiment.targetMultipliers.push_back(readMultiplier(it.name, reader));
        } else if (it.kind == "event") {
            experiment.events.push_back({readSeconds(reader, "at_s"), reader.text("do")});
        } else if (isDriverSection(it.kind)) {
            continue;
        } else {
            problems.push_back({document.file(), it.line, "unknown section [" + it.kind + "]",
                                "use experiment, account, burst, rise or event"});
            continue;
        }
        reader.reportUnexpectedEntries();
    }
    if (experiment.accounts.empty() || experiment.targets.empty()) {
        problems.push_back({document.file(), 0, "no workload",
                            "name at least one [account] and models in [experiment]"});
    }
    return experiment;
}

} // namespace quetzalyoke
