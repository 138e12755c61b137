#ifndef QUETZALYOKE_CORE_STATE_PEERSTATUS_H
#define QUETZALYOKE_CORE_STATE_PEERSTATUS_H

#include "Core/Accounts/ShareRow.h"
#include "Core/StrongTypes.h"

#include <optional>
#include <vector>

namespace quetzalyoke {

/// \brief One gateway's demand for a client account's tokens and its share of them.
struct AccountWorkload
{
    AccountId account;
    ShareWeight weight; ///< Share held by the gateway.
    TokensPerSecond demand; ///< Tokens charged or requested recently.
    Tokens level; ///< Tokens in the gateway's bucket.
};

/// \brief What a gateway tells another gateway about itself.
struct PeerStatus
{
    InstanceId instance;
    Incarnation incarnation;
    Version stateVersion; ///< The gateway knows every row up to this version.
    Version appliedVersion; ///< The gateway acts on every row up to this version.
    std::optional<Duration> tableReadAge; ///< Since the last read began; empty if none.
    std::optional<Duration> heartbeatAge; ///< Since the last successful heartbeat began.
    bool hasLeft = false;
    std::vector<AccountWorkload> demands;
};

} // namespace quetzalyoke

#endif
