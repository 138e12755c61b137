#ifndef QUETZALYOKE_PORTS_ACCOUNTLIMITS_H
#define QUETZALYOKE_PORTS_ACCOUNTLIMITS_H

#include "Core/Requests/Refusal.h"
#include "Core/StrongTypes.h"

#include <optional>

namespace quetzalyoke {

/// \brief What a request is expected to take from its client account.
struct TokenEstimate
{
    Tokens prompt;
    Tokens responseLimit; ///< The most that the answer may have.
    bool streamed = false; ///< Charged piece by piece, or at once when it is whole.
};

/// \brief Keeps client accounts within their rate and burst. Thread-safe.
///
/// Tokens are charged when they are about to be handed to the caller, so a request that fails
/// or is refused costs nothing.
class AccountLimits
{
public:
    virtual ~AccountLimits() = default;

    /// Whether a request may start now, or why not and when to come back.
    virtual std::optional<Refusal> admit(const AccountId &account, const TokenEstimate &estimate,
                                         Instant now)
        = 0;
    /// Takes \a n tokens and returns zero, or takes nothing and returns how long to wait before
    /// asking again.
    virtual Duration charge(const AccountId &account, Tokens n, Instant now) = 0;
};

} // namespace quetzalyoke

#endif
