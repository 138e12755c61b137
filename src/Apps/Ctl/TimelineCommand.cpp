#include "Apps/Ctl/TimelineCommand.h"

#include "Adapters/EventJson.h"
#include "Core/Requests/Timeline.h"

#include <array>
#include <ctime>
#include <map>

namespace quetzalyoke {

namespace {

using Json = nlohmann::json;

constexpr std::int64_t microsPerSecond = 1'000'000;
constexpr int indent = 2;

// The events collected by all gateways.
struct CollectedTimeline
{
    std::vector<TimelineEvent> events;
    std::map<std::string, std::string> missing; ///< Reason for each address.
    int responses = 0;
};

// Formats \a time as ISO 8601 in UTC with microseconds, followed by +N if the logical part N is
// above 0.
std::string formatTime(const HybridTime &time)
{
    const std::time_t seconds = time.physicalMicros / microsPerSecond;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 32> dateAndTime{};
    std::strftime(dateAndTime.data(), dateAndTime.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    std::string micros = std::to_string(time.physicalMicros % microsPerSecond);
    micros.insert(0, 6 - std::min<std::size_t>(6, micros.size()), '0');
    const std::string logical = time.logical > 0 ? "+" + std::to_string(time.logical) : "";
    return std::string(dateAndTime.data()) + "." + micros + "Z" + logical;
}

void collectFrom(OperatorClient &client, const Address &gateway, const TimelineQuery &query,
                 CollectedTimeline &collected)
{
    const httplib::Params params{{"request", query.requestId},
                                 {"limit", std::to_string(query.limit)}};
    try {
        const Json response = client.getFrom(gateway, "/operator/timeline", params);
        for (const Json &it : response.at("events"))
            collected.events.push_back(eventFromJson(it));
        for (const Json &it : response.at("missing"))
            collected.missing[it.at("address")] = it.at("reason");
        ++collected.responses;
    } catch (const Error &e) {
        if (e.kind() == ErrorKind::NotAuthenticated)
            throw;
        collected.missing[gateway.text()] = e.what();
    }
}

void printText(const std::vector<TimelineEvent> &events, std::ostream &out)
{
    for (const TimelineEvent &it : events) {
        out << formatTime(it.time) << ' ' << it.instance.text() << ' ' << it.kind;
        if (!it.request.isEmpty())
            out << " request=" << it.request.text();
        if (!it.detail.empty())
            out << ' ' << it.detail;
        out << '\n';
    }
}

void printJson(const CollectedTimeline &collected, std::ostream &out)
{
    Json events = Json::array();
    for (const TimelineEvent &it : collected.events)
        events.push_back(toJson(it));
    out << Json{{"events", events}, {"missing", collected.missing}}.dump(indent) << '\n';
}

} // namespace

ExitCode printTimeline(OperatorClient &client, const TimelineQuery &query, std::ostream &out,
                       std::ostream &errors)
{
    CollectedTimeline collected;
    for (const Address &it : client.gateways())
        collectFrom(client, it, query, collected);
    for (const auto &[address, reason] : collected.missing)
        errors << "no events of " << address << ": " << reason << '\n';
    if (collected.responses == 0)
        return ExitCode::GatewayUnavailable;
    collected.events = mergeTimelineEvents(std::move(collected.events));
    if (query.json)
        printJson(collected, out);
    else
        printText(collected.events, out);
    return ExitCode::Done;
}

} // namespace quetzalyoke
