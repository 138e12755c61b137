#ifndef QUETZALYOKE_APPS_GATEWAY_OPERATORCHANGES_H
#define QUETZALYOKE_APPS_GATEWAY_OPERATORCHANGES_H

#include "Adapters/HttpPlatformClient.h"
#include "Apps/Gateway/Authenticator.h"
#include "Apps/Gateway/ChangeGate.h"
#include "Apps/Gateway/ConfirmedCommit.h"
#include "Apps/Gateway/GatewayState.h"
#include "Apps/Gateway/StatePoller.h"

#include <string>

namespace quetzalyoke {

/// \brief Applies operators' changes of the service list and of keys.
///
/// Every change is a conditional write and is in force when its method returns. All methods throw
/// Error.
class OperatorChanges
{
public:
    OperatorChanges(HttpPlatformClient &platform, GatewayState &state, StatePoller &statePoller,
                    ChangeGate &changeGate);

    /// Puts the service list \a text in force if version \a seenVersion is still in force, and
    /// returns the new version. \a file is its name in messages.
    Version applyConfiguration(const std::string &text, Version seenVersion,
                               const std::string &file);
    GrantedKey grantKey(const AccountId &account);
    /// Withdraws a key; does nothing if it is already withdrawn.
    void withdrawKey(const ApiKeyId &id);

private:
    Version resolveConflict(const std::string &text, Version seenVersion);
    std::optional<Version> tryWithdraw(const ApiKeyId &id);

    HttpPlatformClient &m_platform;
    GatewayState &m_state;
    StatePoller &m_statePoller;
    ChangeGate &m_changeGate;
    ConfirmedCommit m_commit;
};

} // namespace quetzalyoke

#endif
