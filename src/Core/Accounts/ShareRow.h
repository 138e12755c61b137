#ifndef QUETZALYOKE_CORE_ACCOUNTS_SHAREROW_H
#define QUETZALYOKE_CORE_ACCOUNTS_SHAREROW_H

#include "Core/StrongTypes.h"

#include <map>
#include <string>

namespace quetzalyoke {

using ShareWeight = Quantity<struct ShareWeightTag>; ///< Millionths of an account's rate and burst.

/// \brief The part of one account's rate and burst that a gateway holds.
struct GatewayShare
{
    ShareWeight weight;
    Incarnation incarnation; ///< Only this incarnation of the gateway may spend it.
};

/// \brief How one client account's rate and burst are divided over gateways, as the table keeps it.
///
/// All weights together never exceed wholeShare. A part of a gateway that may be dead is first
/// marked as revoked, and goes to another only when its holder can't be spending it any more.
struct ShareRow
{
    static constexpr const char *rowKeyPrefix = "state/share/";
    static constexpr ShareWeight fullWeight{1'000'000};
    static std::string rowKey(const AccountId &account);
    /// Account of a row's name; empty where it is no share row.
    static AccountId accountOf(const std::string &rowName);

    std::map<InstanceId, GatewayShare> shares;
    std::map<InstanceId, ShareWeight> revoked; ///< By former holder.
    bool startsFull = false; ///< Nobody has spent anything yet, so parts start full.

    ShareWeight weightOf(const InstanceId &instance, Incarnation incarnation) const;
    /// Sum of all parts and revoked weights.
    ShareWeight allocatedWeight() const;

    std::string toJson() const;
    /// Throws Error (MalformedData).
    static ShareRow fromJson(const std::string &json);
};

} // namespace quetzalyoke

#endif
