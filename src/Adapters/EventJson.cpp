#include "Adapters/EventJson.h"

namespace quetzalyoke {

nlohmann::json toJson(const TimelineEvent &event)
{
    return {{"time_us", event.time.physicalMicros},
            {"logical", event.time.logical},
            {"sequence", event.sequence},
            {"instance", event.instance.text()},
            {"incarnation", event.incarnation.count()},
            {"request", event.request.text()},
            {"kind", event.kind},
            {"detail", event.detail}};
}

TimelineEvent eventFromJson(const nlohmann::json &json)
{
    TimelineEvent event;
    event.time = {json.at("time_us"), json.at("logical")};
    event.sequence = json.at("sequence");
    event.instance = InstanceId(json.at("instance"));
    event.incarnation = Incarnation(json.at("incarnation"));
    event.request = RequestId(json.at("request"));
    event.kind = json.at("kind");
    event.detail = json.at("detail");
    return event;
}

} // namespace quetzalyoke
