#include "Apps/Gateway/ConfirmedCommit.h"

#include "Core/Error.h"

namespace quetzalyoke {

namespace {

constexpr int maxAttempts = 4;

} // namespace

ConfirmedCommit::ConfirmedCommit(TableStore &table, std::function<void()> pause)
    : m_table(table), m_pause(std::move(pause))
{ }

// After a lost response, the same write is sent again. Either it takes effect now, and its
// condition rejects the first write should that arrive later; or its condition fails, and the row
// shows which write took effect.
std::optional<Version> ConfirmedCommit::commit(const ConditionalWrite &write)
{
    bool outcomeUnknown = false;
    for (int i = 0; i < maxAttempts; ++i) {
        if (i > 0)
            m_pause();
        try {
            const auto version = m_table.commit({write});
            return version || !outcomeUnknown ? version : findOwnWrite(write);
        } catch (const Error &e) {
            if (e.kind() == ErrorKind::OutcomeUnknown)
                outcomeUnknown = true;
            else if (e.kind() != ErrorKind::PlatformUnavailable || !outcomeUnknown)
                throw;
        }
    }
    throw Error(ErrorKind::OutcomeUnknown,
                "the platform's response was lost; the change may have taken effect");
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
    // Either the other write came first, or it has since replaced this one.
    throw Error(ErrorKind::OutcomeUnknown,
                "another change was made at the same time and is in force now; this one may have "
                "been in force before it");
}

} // namespace quetzalyoke
