#ifndef QUETZALYOKE_APPS_GATEWAY_OPERATORCHANGES_H
#define QUETZALYOKE_APPS_GATEWAY_OPERATORCHANGES_H

#include "Adapters/HttpPlatform.h"
#include "Apps/Gateway/Authenticator.h"
#include "Apps/Gateway/ChangeGate.h"
#include "Apps/Gateway/SettledCommit.h"
#include "Apps/Gateway/SharedState.h"
#include "Apps/Gateway/StateSync.h"

#include <string>

namespace quetzalyoke {

/// \brief What operators change: the service list, and keys.
///
/// Every change is a conditional write and in force when its call returns. All calls throw Error.
class OperatorChanges
{
public:
    OperatorChanges(HttpPlatform &platform, SharedState &state, StateSync &sync, ChangeGate &gate);

    /// Puts \a text in force if version \a seen still is; \a file names it in messages.
    Version applyConfiguration(const std::string &text, Version seen, const std::string &file);
    GrantedKey grantKey(const AccountId &account);
    /// Withdrawing a key twice is one withdrawal.
    void withdrawKey(const KeyId &id);

private:
    Version resolveConflict(const std::string &text, Version seen);
    std::optional<Version> tryWithdraw(const KeyId &id);

    HttpPlatform &m_platform;
    SharedState &m_state;
    StateSync &m_sync;
    ChangeGate &m_gate;
    SettledCommit m_commit;
};

} // namespace quetzalyoke

#endif
