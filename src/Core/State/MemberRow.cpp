#include "Core/State/MemberRow.h"

#include "Core/Error.h"

#include <nlohmann/json.hpp>

namespace quetzalyoke {

using Json = nlohmann::json;

std::string MemberRow::rowName(const InstanceId &instance)
{
    return prefix + instance.text();
}

std::string MemberRow::toJson() const
{
    return Json{{"instance", instance.text()}, {"incarnation", incarnation.count()},
                {"door", doorAddress},         {"http", httpAddress},
                {"zone", zone.text()},         {"heartbeat", heartbeat},
                {"seen", seen.count()},        {"leaving", leaving}}
        .dump();
}

MemberRow MemberRow::fromJson(const std::string &json)
{
    try {
        const Json body = Json::parse(json);
        MemberRow row;
        row.instance = InstanceId(body.at("instance"));
        row.incarnation = Incarnation(body.at("incarnation"));
        row.doorAddress = body.at("door");
        row.httpAddress = body.at("http");
        row.zone = ZoneName(body.at("zone"));
        row.heartbeat = body.at("heartbeat");
        row.seen = Version(body.at("seen"));
        row.leaving = body.at("leaving");
        return row;
    } catch (const Json::exception &e) {
        throw Error(ErrorKind::BadAnswer,
                    std::string("a member row is malformed (") + e.what() + "); restore the table");
    }
}

} // namespace quetzalyoke
