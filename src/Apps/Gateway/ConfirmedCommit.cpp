#include "Apps/Gateway/ConfirmedCommit.h"

#include "Core/Error.h"

namespace quetzalyoke {

namespace {

constexpr int tryLimit = 4;

} // namespace

ConfirmedCommit::ConfirmedCommit(TableStore &table, std::function<void()> pause)
    : m_table(table), m_pause(std::move(pause))
{ }

// A lost answer is settled by sending the same write again: either it takes effect now, and the
// condition keeps the first one out should it still be on its way, or its condition fails and the
// row shows whose write is there.
std::optional<Version> ConfirmedCommit::commit(const ConditionalWrite &write)
{
    bool inDoubt = false;
    for (int i = 0; i < tryLimit; ++i) {
        if (i > 0)
            m_pause();
        try {
            const auto version = m_table.commit({write});
            return version || !inDoubt ? version : findOwnWrite(write);
        } catch (const Error &e) {
            if (e.kind() == ErrorKind::OutcomeUnknown)
                inDoubt = true;
            else if (e.kind() != ErrorKind::PlatformUnavailable || !inDoubt)
                throw;
        }
    }
    throw Error(ErrorKind::OutcomeUnknown,
                "the platform's answer was lost: the change may have taken effect");
}

std::optional<Version> ConfirmedCommit::findOwnWrite(const ConditionalWrite &write)
{
    std::optional<TableRow> row;
    try {
        row = m_table.read(write.key);
    } catch (const Error &e) {
        throw Error(ErrorKind::OutcomeUnknown,
                    std::string("the change may have taken effect: ") + e.what());
    }
    if (row && row->value == write.value)
        return row->version;
    // Either the other writer came first, or it has replaced this write since.
    throw Error(ErrorKind::OutcomeUnknown,
                "another change came at the same time and stands now; this one may have been in "
                "force before it");
}

} // namespace quetzalyoke
