#ifndef QUETZALYOKE_APPS_GATEWAY_CONFIRMEDCOMMIT_H
#define QUETZALYOKE_APPS_GATEWAY_CONFIRMEDCOMMIT_H

#include "Ports/TableStore.h"

#include <functional>
#include <optional>

namespace quetzalyoke {

/// \brief Conditional write of one row that determines its outcome even if a response is lost.
class ConfirmedCommit
{
public:
    /// \a pause is called between two attempts and waits.
    ConfirmedCommit(TableStore &table, std::function<void()> pause);

    /// Commits \a write, whose value must differ from every other writer's and whose condition
    /// must be set. Returns the new version, or nothing if the condition did not hold. Throws
    /// Error: PlatformUnavailable if nothing was written, otherwise OutcomeUnknown.
    std::optional<Version> commit(const ConditionalWrite &write);

private:
    std::optional<Version> findOwnWrite(const ConditionalWrite &write);

    TableStore &m_table;
    std::function<void()> m_pause;
};

} // namespace quetzalyoke

#endif
