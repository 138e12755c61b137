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

/// \brief What operators change: the service list, and keys.
///
/// Every change is a conditional write and in force when its call returns. All calls throw Error.
class OperatorChanges
{
public:
    OperatorChanges(HttpPlatformClient &platform, GatewayState &state, StatePoller &sync,
                    ChangeGate &gate);

    /// Puts \a text in force if version \a seen still is; \a file names it in messages.
    Version applyConfiguration(const std::string &text, Version seen, const std::string &file);
    GrantedKey grantKey(const AccountId &account);
    /// Withdrawing a key twice is one withdrawal.
    void withdrawKey(const ApiKeyId &id);

private:
    Version resolveConflict(const std::string &text, Version seen);
    std::optional<Version> tryWithdraw(const ApiKeyId &id);

    HttpPlatformClient &m_platform;
    GatewayState &m_state;
    StatePoller &m_statePoller;
    ChangeGate &m_gate;
    ConfirmedCommit m_commit;
};

} // namespace quetzalyoke

#endif
