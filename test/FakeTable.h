#ifndef QUETZALYOKE_TEST_FAKETABLE_H
#define QUETZALYOKE_TEST_FAKETABLE_H

#include "Core/Error.h"
#include "Ports/TableStore.h"
#include "StandIns/Platform/InMemoryTable.h"

#include <functional>
#include <utility>

namespace quetzalyoke::test {

/// \brief The platform's table in memory, which can be out or lose the answers of writes.
class FakeTable : public TableStore
{
public:
    bool outage = false;
    int responsesToDrop = 0; ///< Of the next commits; they take effect nevertheless.
    std::function<void()> beforeCommit; ///< For another writer to be first.

    std::optional<TableRow> read(const std::string &key) override
    {
        requireUp();
        return m_table.read(key);
    }

    std::vector<TableRow> scan(const std::string &prefix, Version after) override
    {
        requireUp();
        return m_table.scan(prefix, after);
    }

    std::optional<Version> commit(const std::vector<ConditionalWrite> &writes) override
    {
        requireUp();
        if (const auto hook = std::exchange(beforeCommit, nullptr))
            hook();
        const auto version = m_table.commit(writes);
        if (responsesToDrop > 0) {
            --responsesToDrop;
            throw Error(ErrorKind::OutcomeUnknown, "the answer was lost");
        }
        return version;
    }

private:
    void requireUp() const
    {
        if (outage)
            throw Error(ErrorKind::PlatformUnavailable, "the table is out; try again later");
    }

    standins::InMemoryTable m_table;
};

} // namespace quetzalyoke::test

#endif
