#ifndef QUETZALYOKE_CORE_STATE_PEERSTATUS_H
#define QUETZALYOKE_CORE_STATE_PEERSTATUS_H

#include "Core/Accounts/ShareRow.h"
#include "Core/StrongTypes.h"

#include <optional>
#include <vector>

namespace quetzalyoke {

/// \brief What one gateway needs and has of a client account's tokens.
struct AccountWorkload
{
    AccountId account;
    ShareWeight weight; ///< Held by the gateway.
    TokensPerSecond demand; ///< Handed out or asked for lately.
    Tokens level; ///< In its bucket.
};

/// \brief What one gateway tells another about itself.
struct PeerStatus
{
    InstanceId instance;
    Incarnation incarnation;
    Version stateVersion; ///< It knows every row up to here.
    Version appliedVersion; ///< It acts on every row up to here.
    std::optional<Duration> tableReadAge; ///< Since the start of its last read; nothing: none yet.
    std::optional<Duration>
        heartbeatAge; ///< Since the start of its last heartbeat that was written.
    bool hasLeft = false;
    std::vector<AccountWorkload> demands;
};

} // namespace quetzalyoke

#endif
