#ifndef QUETZALYOKE_PORTS_TABLESTORE_H
#define QUETZALYOKE_PORTS_TABLESTORE_H

#include "Core/StrongTypes.h"

#include <optional>
#include <string>
#include <vector>

namespace quetzalyoke {

/// \brief A row of the platform's table.
struct TableRow
{
    std::string key;
    std::string value;
    Version version; ///< Commit number of the last write; rises across the whole table.
};

/// \brief A write that takes effect only if the row still has the expected version.
struct ConditionalWrite
{
    std::string key;
    std::optional<std::string> value; ///< Empty to delete the row.
    std::optional<Version> expected; ///< Empty for any version; 0 if the row must not exist.
};

/// \brief The platform's transactional table service.
///
/// Every call may throw Error: PlatformUnavailable (the call had no effect) or, for commit(),
/// OutcomeUnknown (the response was lost and the write may have taken effect).
class TableStore
{
public:
    virtual ~TableStore() = default;

    /// Returns the row with \a key, or nothing if it does not exist.
    virtual std::optional<TableRow> read(const std::string &key) = 0;
    /// Returns the rows whose key starts with \a prefix and whose version is above \a after.
    virtual std::vector<TableRow> scan(const std::string &prefix, Version after) = 0;
    /// Applies all writes or none. Returns the new version, or nothing if a condition was not met.
    virtual std::optional<Version> commit(const std::vector<ConditionalWrite> &writes) = 0;
};

/// \brief The platform's object store of immutable bodies by name. Throws the same errors as
/// TableStore.
class ObjectStore
{
public:
    virtual ~ObjectStore() = default;

    /// Returns the body, or nothing if there is no object called \a name.
    virtual std::optional<std::string> get(const std::string &name) = 0;
    virtual void put(const std::string &name, const std::string &body) = 0;
};

/// \brief An instance in the platform's list, which may be out of date.
struct ListedInstance
{
    InstanceId instance;
    std::string address; ///< host:port
    bool leaving = false;
};

/// \brief The platform's list of live and leaving instances. Throws the same errors as TableStore.
class InstanceList
{
public:
    virtual ~InstanceList() = default;
    virtual std::vector<ListedInstance> instances() = 0;
};

} // namespace quetzalyoke

#endif
