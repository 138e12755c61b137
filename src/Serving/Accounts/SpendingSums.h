#ifndef QUETZALYOKE_SERVING_ACCOUNTS_SPENDINGSUMS_H
#define QUETZALYOKE_SERVING_ACCOUNTS_SPENDINGSUMS_H

#include "Core/StrongTypes.h"

#include <map>
#include <vector>

namespace quetzalyoke {

/// \brief What has been handed out of an account's quota, cumulative.
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
    std::size_t gatewayCount = 0; ///< Whose spending is in it.
    /// All of it has been spent within the silence limit, as the sender has just started.
    bool isAllFresh = false;
};

/// \brief Who told a piece of news, and which of its news it is.
struct MessageOrigin
{
    InstanceId instance;
    Incarnation incarnation;
    std::int64_t sequence = 0; ///< Rises within an incarnation.
};

/// \brief Adds up what gateways spend, so that each of many hears of all others in one message.
///
/// Held by a gateway that speaks for others: its members tell it what they have spent, and other
/// speakers tell it the sums of theirs. A gateway tells one speaker only, so sums of different
/// speakers never count the same spending twice. What a source spent long before it was first heard
/// of, or after it fell silent, is in no sum; whoever uses the sum counts the gateways that are not
/// in it at their equal part.
class SpendingSums
{
public:
    /// A source is in no sum after \a silence without news.
    explicit SpendingSums(Duration silence) : m_silenceTimeout(silence) { }

    void updateMember(const MessageOrigin &member, const SpendingSum &own, Instant now);
    void updateAggregator(const MessageOrigin &speaker, const SpendingSum &sum, Instant now);
    /// Leaves out silent sources. What they spent before stays in the sums.
    void excludeSilentSources(Instant now);

    /// What this gateway's members have spent.
    SpendingSum sumOfMembers() const;
    /// What all but \a member have spent.
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
        SpendingByAccount reported; // last, cumulative since the source's start
        SpendingByAccount counted; // of it in the sums
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
