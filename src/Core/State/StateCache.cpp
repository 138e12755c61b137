#include "Core/State/StateCache.h"

#include "Core/Error.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace quetzalyoke {

namespace {

using Json = nlohmann::json;

constexpr const char *keyPrefix = "state/key/";

Json parseRow(const std::string &text)
{
    const Json json = Json::parse(text, nullptr, false);
    if (!json.is_object())
        throw Error(ErrorKind::BadAnswer, "a state row holds no JSON object; restore the table");
    return json;
}

} // namespace

std::string KeyRecord::toJson() const
{
    return Json{
        {"id", id.text()}, {"account", account.text()}, {"hash", hash}, {"withdrawn", withdrawn}}
        .dump();
}

KeyRecord KeyRecord::fromJson(const std::string &json)
{
    const Json body = parseRow(json);
    return {KeyId(body.at("id")), AccountId(body.at("account")), body.at("hash"),
            body.at("withdrawn")};
}

std::string ConfigurationPointer::toJson() const
{
    return Json{{"object", object}, {"author", author}, {"write_id", writeId}}.dump();
}

ConfigurationPointer ConfigurationPointer::fromJson(const std::string &json)
{
    const Json body = parseRow(json);
    return {body.at("object"), body.value("author", ""), body.value("write_id", "")};
}

std::string StateCache::keyRowName(const KeyId &id)
{
    return keyPrefix + id.text();
}

bool StateCache::apply(const StateRow &row)
{
    StateRow &known = m_rows[row.key];
    if (known.version >= row.version)
        return false;
    if (row.key == configurationKey) {
        m_configuration = ConfigurationPointer::fromJson(row.value);
        m_configurationVersion = row.version;
    } else if (row.key.starts_with(keyPrefix)) {
        const KeyRecord record = KeyRecord::fromJson(row.value);
        m_keys[record.id] = record;
    }
    known = row;
    m_version = std::max(m_version, row.version);
    return true;
}

std::optional<KeyRecord> StateCache::findKey(const KeyId &id) const
{
    const auto it = m_keys.find(id);
    return it == m_keys.end() ? std::nullopt : std::optional(it->second);
}

std::vector<KeyRecord> StateCache::keys() const
{
    std::vector<KeyRecord> records;
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
