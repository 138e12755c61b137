#ifndef QUETZALYOKE_APPS_GATEWAY_AUTHENTICATOR_H
#define QUETZALYOKE_APPS_GATEWAY_AUTHENTICATOR_H

#include "Apps/Gateway/SharedState.h"
#include "Core/Requests/Refusal.h"

#include <optional>
#include <string>
#include <variant>

namespace quetzalyoke {

/// \brief A key as granted: the record for the table and the text for the caller.
struct GrantedKey
{
    KeyRecord record;
    std::string text; ///< Shown once, kept nowhere.
};

/// Makes a key for \a account from random bytes.
GrantedKey makeKey(const AccountId &account);

/// \brief Finds the client account that a presented key belongs to.
class Authenticator
{
public:
    explicit Authenticator(const SharedState &state);

    /// Account of \a keyText, or why the request is refused.
    std::variant<AccountId, Refusal> authenticate(const std::string &keyText, Instant now) const;

private:
    const SharedState &m_state;
};

} // namespace quetzalyoke

#endif
