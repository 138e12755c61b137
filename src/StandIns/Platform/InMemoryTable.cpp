#include "StandIns/Platform/InMemoryTable.h"

#include <algorithm>

namespace quetzalyoke::standins {

std::optional<TableRow> InMemoryTable::read(const std::string &key)
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_rows.find(key);
    return it == m_rows.end() ? std::nullopt : std::optional(it->second);
}

std::vector<TableRow> InMemoryTable::scan(const std::string &prefix, Version after)
{
    const std::lock_guard lock(m_mutex);
    std::vector<TableRow> rows;
    for (auto it = m_rows.lower_bound(prefix); it != m_rows.end(); ++it) {
        if (it->first.compare(0, prefix.size(), prefix) != 0)
            break;
        if (it->second.version > after)
            rows.push_back(it->second);
    }
    return rows;
}

std::optional<Version> InMemoryTable::commit(const std::vector<ConditionalWrite> &writes)
{
    const std::lock_guard lock(m_mutex);
    const bool holds = std::all_of(writes.begin(), writes.end(),
                                   [this](const auto &it) { return conditionHolds(it); });
    if (!holds)
        return std::nullopt;
    m_version += Version(1);
    for (const ConditionalWrite &it : writes) {
        if (it.value)
            m_rows[it.key] = {it.key, *it.value, m_version};
        else
            m_rows.erase(it.key);
    }
    return m_version;
}

bool InMemoryTable::conditionHolds(const ConditionalWrite &write) const
{
    if (!write.expected)
        return true;
    const auto it = m_rows.find(write.key);
    return (it == m_rows.end() ? Version(0) : it->second.version) == *write.expected;
}

} // namespace quetzalyoke::standins
