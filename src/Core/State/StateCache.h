#ifndef QUETZALYOKE_CORE_STATE_STATECACHE_H
#define QUETZALYOKE_CORE_STATE_STATECACHE_H

#include "Core/StrongTypes.h"

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace quetzalyoke {

/// \brief A client account's key as the table keeps it: never the key itself, only its hash.
struct ApiKeyRow
{
    ApiKeyId id;
    AccountId account;
    std::string hash; ///< SHA-256 of the key's secret part, hexadecimal.
    bool withdrawn = false;

    std::string toJson() const;
    /// Throws Error (MalformedData).
    static ApiKeyRow fromJson(const std::string &json);
};

/// \brief Which service list is in force, as the table keeps it.
struct ConfigurationRow
{
    std::string objectName; ///< Name in the object store.
    std::string author;
    std::string writeId; ///< Of the write itself, by which its writer knows it again.

    std::string toJson() const;
    /// Throws Error (MalformedData).
    static ConfigurationRow fromJson(const std::string &json);
};

/// \brief A row of the shared state, as read from the table or from another gateway.
struct StateRow
{
    std::string key;
    std::string value;
    Version version;
};

/// \brief What one gateway knows of the shared state: keys and the configuration pointer.
///
/// Rows may arrive in any order and twice; a row never replaces one of a higher version, so no
/// key or configuration reverts.
class StateCache
{
public:
    static constexpr const char *rowKeyPrefix = "state/";
    static constexpr const char *configurationRowKey = "state/configuration";
    static std::string apiKeyRowKey(const ApiKeyId &id);

    /// Takes a row; false where a newer one of the same key is known.
    bool applyRow(const StateRow &row);

    /// Highest version of any row.
    Version version() const { return m_version; }
    Version configurationVersion() const { return m_configurationVersion; }
    const ConfigurationRow &configurationRow() const { return m_configuration; }
    std::optional<ApiKeyRow> findApiKey(const ApiKeyId &id) const;
    std::vector<ApiKeyRow> apiKeys() const;
    /// Rows above \a version, for a peer that knows less.
    std::vector<StateRow> rowsAfter(Version version) const;

private:
    std::unordered_map<std::string, StateRow> m_rows;
    std::unordered_map<ApiKeyId, ApiKeyRow> m_keys;
    ConfigurationRow m_configuration;
    Version m_configurationVersion;
    Version m_version;
};

} // namespace quetzalyoke

#endif
