#ifndef QUETZALYOKE_APPS_GATEWAY_AUTHENTICATOR_H
#define QUETZALYOKE_APPS_GATEWAY_AUTHENTICATOR_H

#include "Apps/Gateway/GatewayState.h"
#include "Core/Requests/Refusal.h"

#include <optional>
#include <string>
#include <variant>

namespace quetzalyoke {

/// \brief A newly granted key: the record for the table and the text for the caller.
struct GrantedKey
{
    ApiKeyRow record;
    std::string text; ///< Shown once and never stored.
};

/// Creates a key for \a account from random bytes.
GrantedKey makeKey(const AccountId &account);

/// \brief Finds the client account that a presented key belongs to.
class Authenticator
{
public:
    explicit Authenticator(const GatewayState &state);

    /// Returns the account of \a keyText, or the reason why the request is refused.
    std::variant<AccountId, Refusal> authenticate(const std::string &keyText, Instant now) const;

private:
    const GatewayState &m_state;
};

} // namespace quetzalyoke

#endif
