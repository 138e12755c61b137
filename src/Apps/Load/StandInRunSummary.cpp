#include "Apps/Load/StandInRunSummary.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <sstream>

namespace quetzalyoke {

namespace {

using Json = nlohmann::json;

void addRuns(StandInRunSummary &summary, const std::string &text)
{
    std::istringstream lines(text);
    for (std::string line; std::getline(lines, line);) {
        const Json json = Json::parse(line, nullptr, false);
        if (json.is_object())
            ++summary.runsByRequest[json.value("request", "")];
    }
}

void addLoads(StandInRunSummary &summary, const std::string &text)
{
    const Json json = Json::parse(text, nullptr, false);
    if (!json.is_object())
        return;
    summary.modelLoads += json.value("model_loads", 0);
    summary.adapterLoads += json.value("adapter_loads", 0);
    summary.overcommittedEngines += json.value("overcommitted", false) ? 1 : 0;
}

} // namespace

StandInRunSummary StandInRunSummary::collect(const std::vector<Address> &standIns)
{
    StandInRunSummary summary;
    for (const Address &it : standIns) {
        httplib::Client client(it.host, it.port);
        const auto runs = client.Get("/record");
        if (!runs) {
            ++summary.unreachableStandIns;
            continue;
        }
        addRuns(summary, runs->body);
        const auto load = client.Get("/load");
        if (load && load->status == 200)
            addLoads(summary, load->body);
    }
    return summary;
}

} // namespace quetzalyoke
