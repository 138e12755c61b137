#ifndef QUETZALYOKE_SERVING_ACCOUNTS_SPENDINGSUMS_H
#define QUETZALYOKE_SERVING_ACCOUNTS_SPENDINGSUMS_H

#include "Core/StrongTypes.h"

#include <map>
#include <vector>

namespace quetzalyoke {

/// \brief Spending of one account's quota, cumulative.
struct AccountSpending
{
    double spent = 0;
    double requested = 0; ///< Refused requests included.
};

using SpendingByAccount = std::map<AccountId, AccountSpending>;

/// \brief What several gateways have spent together.
struct SpendingSum
{
    SpendingByAccount accounts;
    std::size_t gatewayCount = 0; ///< Number of gateways in the sum.
    /// Set if all of it was spent within the silence timeout because the sender has just started.
    bool isAllFresh = false;
};

/// \brief Sender of a message, and the message's position among its messages.
struct MessageOrigin
{
    InstanceId instance;
    Incarnation incarnation;
    std::int64_t sequence = 0; ///< Increases within an incarnation.
};

/// \brief Adds up what gateways spend, so that one message tells a gateway about all others.
///
/// Used by an aggregator: its members report what they have spent, and other aggregators report the
/// sums of their members. A gateway reports to one aggregator only, so the sums of different
/// aggregators never count the same spending twice. What a source spent long before its first
/// message, or after it fell silent, is in no sum; users of a sum count each gateway that is not in
/// it at its equal share of the rate.
class SpendingSums
{
public:
    /// A source is in no sum after \a silenceTimeout without a message.
    explicit SpendingSums(Duration silenceTimeout) : m_silenceTimeout(silenceTimeout) { }

    void updateMember(const MessageOrigin &member, const SpendingSum &own, Instant now);
    void updateAggregator(const MessageOrigin &aggregator, const SpendingSum &sum, Instant now);
    /// Excludes silent sources from now on. What they spent before stays in the sums.
    void excludeSilentSources(Instant now);

    /// Returns what this gateway's members have spent.
    SpendingSum sumOfMembers() const;
    /// Returns what all gateways except \a member have spent.
    SpendingSum sumOfOthers(const InstanceId &member) const;
    std::vector<InstanceId> members() const;
    std::vector<InstanceId> aggregators() const;

private:
    struct Source
    {
        bool isActive = false;
        Incarnation incarnation;
        std::int64_t sequence = 0;
        Instant heardAt;
        std::size_t gatewayCount = 1;
        SpendingByAccount reported; // latest report, cumulative since the source's start
        SpendingByAccount counted; // part of reported that is in the sums
    };
    struct Sources
    {
        std::map<InstanceId, Source> byName;
        SpendingByAccount total;
    };

    static void updateSource(Sources &sources, const MessageOrigin &origin, const SpendingSum &sum,
                             Instant now);
    static std::size_t countGateways(const Sources &sources);
    static std::vector<InstanceId> activeSources(const Sources &sources);

    const Duration m_silenceTimeout;
    Sources m_members;
    Sources m_aggregators;
};

} // namespace quetzalyoke

#endif
