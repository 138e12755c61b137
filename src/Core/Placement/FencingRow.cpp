#include "Core/Placement/FencingRow.h"

#include "Core/Error.h"
#include "Core/JsonText.h"

#include <nlohmann/json.hpp>

namespace quetzalyoke {

using Json = nlohmann::json;

std::string FencingRow::rowKey(const ServerName &server)
{
    return rowKeyPrefix + server.text();
}

std::string FencingRow::toJson() const
{
    return dumpJson(
        Json{{"epoch", epoch}, {"holder", holder.text()}, {"incarnation", incarnation.count()}});
}

FencingRow FencingRow::fromJson(const std::string &json)
{
    const Json body = Json::parse(json, nullptr, false);
    if (!body.is_object())
        throw Error(ErrorKind::MalformedData,
                    "a fencing row is not a JSON object; restore the table");
    return {body.at("epoch"), InstanceId(body.at("holder")), Incarnation(body.at("incarnation"))};
}

} // namespace quetzalyoke
