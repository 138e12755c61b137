#ifndef QUETZALYOKE_CORE_ACCOUNTS_SHAREROW_H
#define QUETZALYOKE_CORE_ACCOUNTS_SHAREROW_H

#include "Core/StrongTypes.h"

#include <map>
#include <string>

namespace quetzalyoke {

using ShareWeight = Quantity<struct ShareWeightTag>; ///< Millionths of an account's rate and burst.

/// \brief A gateway's share of one account's rate and burst.
struct GatewayShare
{
    ShareWeight weight;
    Incarnation incarnation; ///< Only this incarnation of the gateway may spend it.
};

/// \brief Table row with the distribution of one client account's rate and burst over the gateways.
///
/// The sum of all weights never exceeds fullWeight. The share of a gateway that may have ended is
/// first marked as revoked, and goes to another gateway only when its holder can't spend it any
/// more.
struct ShareRow
{
    static constexpr const char *rowKeyPrefix = "state/share/";
    static constexpr ShareWeight fullWeight{1'000'000};
    static std::string rowKey(const AccountId &account);
    /// Returns the account of the row with \a key, or an empty id if that isn't a share row.
    static AccountId accountOf(const std::string &key);

    std::map<InstanceId, GatewayShare> shares;
    std::map<InstanceId, ShareWeight> revoked; ///< By the former holder.
    bool startsFull = false; ///< Shares start full, as no tokens have been spent yet.

    ShareWeight weightOf(const InstanceId &instance, Incarnation incarnation) const;
    /// Returns the sum of all shares and revoked weights.
    ShareWeight allocatedWeight() const;

    std::string toJson() const;
    /// Throws Error (MalformedData).
    static ShareRow fromJson(const std::string &json);
};

} // namespace quetzalyoke

#endif
