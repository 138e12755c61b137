#ifndef QUETZALYOKE_APPS_GATEWAY_CHANGEGATE_H
#define QUETZALYOKE_APPS_GATEWAY_CHANGEGATE_H

#include "Core/StrongTypes.h"

namespace quetzalyoke {

/// \brief Decides whether this gateway may accept an operator's change, and waits until a change
/// is in force.
class ChangeGate
{
public:
    virtual ~ChangeGate() = default;

    /// Throws Error (PlatformUnavailable) while this gateway may not accept changes, for example
    /// just after its start, when other gateways may not yet know it.
    virtual void requireMayAccept() = 0;
    /// Returns once every gateway either knows \a version or no longer serves keyed traffic on
    /// older state.
    virtual void waitUntilInForce(Version version) = 0;
};

} // namespace quetzalyoke

#endif
