#ifndef QUETZALYOKE_PORTS_ACCOUNTLIMITS_H
#define QUETZALYOKE_PORTS_ACCOUNTLIMITS_H

#include "Core/Requests/Refusal.h"
#include "Core/StrongTypes.h"

#include <optional>

namespace quetzalyoke {

/// \brief The tokens that a request is expected to consume from its client account's quota.
struct TokenEstimate
{
    Tokens prompt;
    Tokens responseLimit; ///< Maximum number of tokens in the response.
    bool streamed = false; ///< Charged in parts as they are sent; otherwise as a whole.
};

/// \brief Enforces the rate and burst of client accounts. Thread-safe.
///
/// Tokens are charged right before they are sent to the caller, so a request that fails or is
/// refused consumes none.
class AccountLimits
{
public:
    virtual ~AccountLimits() = default;

    /// Returns nothing if a request may start now, otherwise a refusal with the reason and the time
    /// after which to retry.
    virtual std::optional<Refusal> admit(const AccountId &account, const TokenEstimate &estimate,
                                         Instant now)
        = 0;
    /// Charges \a n tokens and returns zero, or charges nothing and returns how long to wait before
    /// the next try.
    virtual Duration charge(const AccountId &account, Tokens n, Instant now) = 0;
};

} // namespace quetzalyoke

#endif
