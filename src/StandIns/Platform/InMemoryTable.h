#ifndef QUETZALYOKE_STANDINS_PLATFORM_INMEMORYTABLE_H
#define QUETZALYOKE_STANDINS_PLATFORM_INMEMORYTABLE_H

#include "Ports/TableStore.h"

#include <map>
#include <mutex>

namespace quetzalyoke::standins {

/// \brief A transactional table that is kept in memory. Thread-safe.
class InMemoryTable : public TableStore
{
public:
    std::optional<TableRow> read(const std::string &key) override;
    std::vector<TableRow> scan(const std::string &prefix, Version after) override;
    std::optional<Version> commit(const std::vector<ConditionalWrite> &writes) override;

private:
    bool conditionHolds(const ConditionalWrite &write) const;

    std::mutex m_mutex;
    std::map<std::string, TableRow> m_rows;
    Version m_version;
};

} // namespace quetzalyoke::standins

#endif
