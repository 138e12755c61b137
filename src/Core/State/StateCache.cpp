#include "Core/State/StateCache.h"

#include "Core/Error.h"
#include "Core/JsonText.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace quetzalyoke {

namespace {

using Json = nlohmann::json;

constexpr const char *apiKeyRowKeyPrefix = "state/key/";

Json parseRow(const std::string &text)
{
    const Json json = Json::parse(text, nullptr, false);
    if (!json.is_object())
        throw Error(ErrorKind::MalformedData,
                    "a state row holds no JSON object; restore the table");
    return json;
}

} // namespace

std::string ApiKeyRow::toJson() const
{
    return dumpJson(Json{
        {"id", id.text()}, {"account", account.text()}, {"hash", hash}, {"withdrawn", withdrawn}});
}

ApiKeyRow ApiKeyRow::fromJson(const std::string &json)
{
    const Json body = parseRow(json);
    return {ApiKeyId(body.at("id")), AccountId(body.at("account")), body.at("hash"),
            body.at("withdrawn")};
}

std::string ConfigurationRow::toJson() const
{
    return dumpJson(Json{{"object", objectName}, {"author", author}, {"write_id", writeId}});
}

ConfigurationRow ConfigurationRow::fromJson(const std::string &json)
{
    const Json body = parseRow(json);
    return {body.at("object"), body.value("author", ""), body.value("write_id", "")};
}

std::string StateCache::apiKeyRowKey(const ApiKeyId &id)
{
    return apiKeyRowKeyPrefix + id.text();
}

bool StateCache::applyRow(const StateRow &row)
{
    StateRow &stored = m_rows[row.key];
    if (stored.version >= row.version)
        return false;
    if (row.key == configurationRowKey) {
        m_configuration = ConfigurationRow::fromJson(row.value);
        m_configurationVersion = row.version;
    } else if (row.key.starts_with(apiKeyRowKeyPrefix)) {
        const ApiKeyRow record = ApiKeyRow::fromJson(row.value);
        m_keys[record.id] = record;
    }
    stored = row;
    m_version = std::max(m_version, row.version);
    return true;
}

std::optional<ApiKeyRow> StateCache::findApiKey(const ApiKeyId &id) const
{
    const auto it = m_keys.find(id);
    return it == m_keys.end() ? std::nullopt : std::optional(it->second);
}

std::vector<ApiKeyRow> StateCache::apiKeys() const
{
    std::vector<ApiKeyRow> records;
    for (const auto &[id, record] : m_keys)
        records.push_back(record);
    std::sort(records.begin(), records.end(),
              [](const auto &a, const auto &b) { return a.id < b.id; });
    return records;
}

std::vector<StateRow> StateCache::rowsAfter(Version version) const
{
    std::vector<StateRow> rows;
    for (const auto &[key, row] : m_rows) {
        if (row.version > version)
            rows.push_back(row);
    }
    return rows;
}

} // namespace quetzalyoke
