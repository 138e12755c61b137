#ifndef QUETZALYOKE_TEST_FAKETABLE_H
#define QUETZALYOKE_TEST_FAKETABLE_H

#include "Core/Error.h"
#include "Ports/TableStore.h"
#include "StandIns/Platform/InMemoryTable.h"

#include <functional>
#include <utility>

namespace quetzalyoke::test {

/// \brief An in-memory table that can be unavailable or lose the responses to writes.
class FakeTable : public TableStore
{
public:
    bool outage = false; ///< Every call throws PlatformUnavailable.
    int responsesToDrop = 0; ///< Next commits that take effect but throw OutcomeUnknown.
    std::function<void()> beforeCommit; ///< Called once, to simulate another writer.

    std::optional<TableRow> read(const std::string &key) override
    {
        requireAvailable();
        return m_table.read(key);
    }

    std::vector<TableRow> scan(const std::string &prefix, Version after) override
    {
        requireAvailable();
        return m_table.scan(prefix, after);
    }

    std::optional<Version> commit(const std::vector<ConditionalWrite> &writes) override
    {
        requireAvailable();
        if (const auto hook = std::exchange(beforeCommit, nullptr))
            hook();
        const auto version = m_table.commit(writes);
        if (responsesToDrop > 0) {
            --responsesToDrop;
            throw Error(ErrorKind::OutcomeUnknown, "the response was lost");
        }
        return version;
    }

private:
    void requireAvailable() const
    {
        if (outage)
            throw Error(ErrorKind::PlatformUnavailable, "the table is unavailable; retry later");
    }

    standins::InMemoryTable m_table;
};

} // namespace quetzalyoke::test

#endif
