#ifndef QUETZALYOKE_PORTS_TABLESTORE_H
#define QUETZALYOKE_PORTS_TABLESTORE_H

#include "Core/StrongTypes.h"

#include <optional>
#include <string>
#include <vector>

namespace quetzalyoke {

struct TableRow
{
    std::string key;
    std::string value;
    Version version; ///< Commit number of the last write; rises over the whole table.
};

/// \brief A write that takes effect only if the row still has the expected version.
struct ConditionalWrite
{
    std::string key;
    std::optional<std::string> value; ///< Nothing: delete the row.
    std::optional<Version> expected; ///< Nothing: unconditional; 0: the row must not exist.
};

/// \brief The platform's transactional table service.
///
/// Every call throws Error: PlatformUnavailable (nothing happened) or, for commit(),
/// OutcomeUnknown (the answer was lost after the write may have taken effect).
class TableStore
{
public:
    virtual ~TableStore() = default;

    virtual std::optional<TableRow> read(const std::string &key) = 0;
    /// Rows whose key starts with \a prefix and whose version is above \a after.
    virtual std::vector<TableRow> scan(const std::string &prefix, Version after) = 0;
    /// Applies all writes or none. Returns the new version, or nothing where a condition failed.
    virtual std::optional<Version> commit(const std::vector<ConditionalWrite> &writes) = 0;
};

/// \brief The platform's object store: immutable bodies by name. Throws as TableStore does.
class ObjectStore
{
public:
    virtual ~ObjectStore() = default;

    virtual std::optional<std::string> get(const std::string &name) = 0;
    virtual void put(const std::string &name, const std::string &body) = 0;
};

/// \brief An instance as the platform's lagging list shows it.
struct ListedInstance
{
    InstanceId instance;
    std::string address; ///< host:port
    bool leaving = false;
};

/// \brief The platform's list of live and leaving instances. Throws as TableStore does.
class InstanceList
{
public:
    virtual ~InstanceList() = default;
    virtual std::vector<ListedInstance> instances() = 0;
};

} // namespace quetzalyoke

#endif
