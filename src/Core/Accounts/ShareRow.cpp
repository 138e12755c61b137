#include "Core/Accounts/ShareRow.h"

#include "Core/Error.h"
#include "Core/JsonText.h"

#include <nlohmann/json.hpp>

namespace quetzalyoke {

using Json = nlohmann::json;

std::string ShareRow::rowKey(const AccountId &account)
{
    return rowKeyPrefix + account.text();
}

AccountId ShareRow::accountOf(const std::string &key)
{
    const std::string prefix = rowKeyPrefix;
    return key.starts_with(prefix) ? AccountId(key.substr(prefix.size())) : AccountId();
}

ShareWeight ShareRow::weightOf(const InstanceId &instance, Incarnation incarnation) const
{
    const auto it = shares.find(instance);
    if (it == shares.end() || it->second.incarnation != incarnation)
        return ShareWeight();
    return it->second.weight;
}

ShareWeight ShareRow::allocatedWeight() const
{
    ShareWeight sum;
    for (const auto &[instance, share] : shares)
        sum += share.weight;
    for (const auto &[instance, weight] : revoked)
        sum += weight;
    return sum;
}

std::string ShareRow::toJson() const
{
    Json body{{"initial", startsFull}, {"parts", Json::object()}, {"revoked", Json::object()}};
    for (const auto &[instance, share] : shares) {
        body["parts"][instance.text()]
            = {{"weight", share.weight.count()}, {"incarnation", share.incarnation.count()}};
    }
    for (const auto &[instance, weight] : revoked)
        body["revoked"][instance.text()] = weight.count();
    return dumpJson(body);
}

ShareRow ShareRow::fromJson(const std::string &json)
{
    try {
        const Json body = Json::parse(json);
        ShareRow row;
        row.startsFull = body.at("initial");
        for (const auto &[name, share] : body.at("parts").items()) {
            row.shares[InstanceId(name)]
                = {ShareWeight(share.at("weight")), Incarnation(share.at("incarnation"))};
        }
        for (const auto &[name, weight] : body.at("revoked").items())
            row.revoked[InstanceId(name)] = ShareWeight(weight);
        return row;
    } catch (const Json::exception &e) {
        throw Error(ErrorKind::MalformedData,
                    std::string("a share row is malformed (") + e.what() + "); restore the table");
    }
}

} // namespace quetzalyoke
