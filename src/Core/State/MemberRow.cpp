#include "Core/State/MemberRow.h"

#include "Core/Error.h"
#include "Core/JsonText.h"

#include <nlohmann/json.hpp>

namespace quetzalyoke {

using Json = nlohmann::json;

std::string MemberRow::rowKey(const InstanceId &instance)
{
    return rowKeyPrefix + instance.text();
}

std::string MemberRow::toJson() const
{
    return dumpJson(Json{{"instance", instance.text()},
                         {"incarnation", incarnation.count()},
                         {"door", thriftAddress},
                         {"http", httpAddress},
                         {"zone", zone.text()},
                         {"heartbeat", heartbeatCount},
                         {"seen", stateVersion.count()},
                         {"leaving", hasLeft}});
}

MemberRow MemberRow::fromJson(const std::string &json)
{
    try {
        const Json body = Json::parse(json);
        MemberRow row;
        row.instance = InstanceId(body.at("instance"));
        row.incarnation = Incarnation(body.at("incarnation"));
        row.thriftAddress = body.at("door");
        row.httpAddress = body.at("http");
        row.zone = ZoneName(body.at("zone"));
        row.heartbeatCount = body.at("heartbeat");
        row.stateVersion = Version(body.at("seen"));
        row.hasLeft = body.at("leaving");
        return row;
    } catch (const Json::exception &e) {
        throw Error(ErrorKind::MalformedData,
                    std::string("a member row is malformed (") + e.what() + "); restore the table");
    }
}

} // namespace quetzalyoke
