#ifndef QUETZALYOKE_CORE_STATE_STATECACHE_H
#define QUETZALYOKE_CORE_STATE_STATECACHE_H

#include "Core/StrongTypes.h"

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace quetzalyoke {

/// \brief Table row of a client account's key. It holds only a hash, never the key itself.
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

/// \brief Table row that says which service list is in force.
struct ConfigurationRow
{
    std::string objectName; ///< Name in the object store.
    std::string author;
    std::string writeId; ///< Identifies the write, so that its writer recognizes it.

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

/// \brief One gateway's copy of the shared state: all rows, with the keys and the configuration
/// pointer decoded.
///
/// Rows may arrive in any order and more than once. A row never replaces one with the same or a
/// higher version, so no key or configuration reverts.
class StateCache
{
public:
    static constexpr const char *rowKeyPrefix = "state/";
    static constexpr const char *configurationRowKey = "state/configuration";
    static std::string apiKeyRowKey(const ApiKeyId &id);

    /// Stores \a row and returns true, or returns false if the same or a newer version of the row
    /// is known.
    bool applyRow(const StateRow &row);

    /// Returns the highest version of any row.
    Version version() const { return m_version; }
    Version configurationVersion() const { return m_configurationVersion; }
    const ConfigurationRow &configurationRow() const { return m_configuration; }
    std::optional<ApiKeyRow> findApiKey(const ApiKeyId &id) const;
    std::vector<ApiKeyRow> apiKeys() const;
    /// Returns the rows above \a version, for a peer whose state is older.
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
