#ifndef QUETZALYOKE_APPS_GATEWAY_CONFIRMEDCOMMIT_H
#define QUETZALYOKE_APPS_GATEWAY_CONFIRMEDCOMMIT_H

#include "Ports/TableStore.h"

#include <functional>
#include <optional>

namespace quetzalyoke {

/// \brief Conditional write of one row whose outcome is settled also where an answer is lost.
class ConfirmedCommit
{
public:
    /// \a pause waits between two tries.
    ConfirmedCommit(TableStore &table, std::function<void()> pause);

    /// Writes \a write, whose value must be unlike any other writer's and whose condition must be
    /// set. Returns the new version, or nothing where the condition did not hold.
    /// Throws Error: PlatformUnavailable (nothing happened) or OutcomeUnknown.
    std::optional<Version> commit(const ConditionalWrite &write);

private:
    std::optional<Version> findOwnWrite(const ConditionalWrite &write);

    TableStore &m_table;
    std::function<void()> m_pause;
};

} // namespace quetzalyoke

#endif
