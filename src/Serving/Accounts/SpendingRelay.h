#ifndef QUETZALYOKE_SERVING_ACCOUNTS_SPENDINGRELAY_H
#define QUETZALYOKE_SERVING_ACCOUNTS_SPENDINGRELAY_H

#include "Serving/Accounts/SpendingSums.h"
#include "Serving/State/StoreReaderElection.h"

#include <functional>

namespace quetzalyoke {

/// \brief Exchanges the accounts' spending among gateways that are too many to report to each other
/// directly; no I/O.
///
/// An account may suddenly request several times its rate at hundreds of gateways. Each gateway
/// reports what it has spent to one aggregator of its availability zone, the aggregators exchange
/// the sums of their members, and each sends its members what all others have spent. The data is at
/// most three intervals old. A gateway that is no aggregator sends and receives one message per
/// interval, however many gateways there are.
///
/// Every gateway chooses its aggregator by itself. If two differ, the zone has two aggregators, and
/// no spending is in the sums of both. A silent aggregator is replaced after the silence timeout.
class SpendingRelay
{
public:
    enum class MessageKind {
        MemberSpending, ///< To the aggregator: what the sender has spent.
        MembersSum, ///< To other aggregators: the sum of the sender's members.
        OthersSum, ///< To a member: the sum of all gateways except itself.
    };
    struct Message
    {
        MessageKind kind = MessageKind::MemberSpending;
        SpendingSum sum;
    };
    struct OutgoingMessage
    {
        InstanceId to;
        Message message;
    };
    struct Settings
    {
        Duration tickInterval{250'000}; ///< Between two ticks.
        /// Time without a message after which a gateway is left out of the sums, or an aggregator
        /// is replaced: either two messages in a row or the gateway itself are lost.
        Duration silenceTimeout{900'000};
        /// Time for which an aggregator that failed is not chosen again. A second aggregator costs
        /// a zone little, while each change costs a silence timeout.
        Duration exclusionAfterFailure{30'000'000};
    };
    struct Hooks
    {
        /// Called with the sum of what all other gateways that are heard of have spent since the
        /// start of \a aggregator.
        std::function<void(const MessageOrigin &aggregator, const SpendingSum &sum)> onOthersSum;
        /// Called when another aggregator has taken over from \a aggregator, whose sums count no
        /// more.
        std::function<void(const InstanceId &aggregator)> onAggregatorReplaced;
    };

    SpendingRelay(const Settings &settings, GatewayCandidate self, Hooks hooks);

    /// Returns the messages to send now. \a own is cumulative since the start of this gateway's
    /// \a incarnation.
    std::vector<OutgoingMessage> tick(const std::vector<GatewayCandidate> &peers,
                                      Incarnation incarnation, const SpendingByAccount &own,
                                      Instant now);
    void onMessage(const MessageOrigin &from, const Message &message, Instant now);
    /// To be called after this gateway was suspended, since its aggregator may have sent messages
    /// meanwhile.
    void onResumed(Instant now) { m_aggregatorHeardAt = now; }
    /// Returns whether gateways report to this one.
    bool hasMembers() const { return !m_sums.members().empty(); }
    const InstanceId &aggregator() const { return m_aggregator; }

private:
    void chooseAggregator(const std::vector<GatewayCandidate> &peers, Instant now);
    std::vector<GatewayCandidate> eligibleCandidates(const std::vector<GatewayCandidate> &peers,
                                                     Instant now) const;
    void applyOthersSum(const MessageOrigin &from, const SpendingSum &sum, Instant now);
    void addSumMessages(std::vector<OutgoingMessage> &messages) const;
    bool hasJustStarted() const;

    const Settings m_settings;
    const GatewayCandidate m_self;
    const Hooks m_hooks;
    SpendingSums m_sums;
    std::map<ZoneName, InstanceId> m_zoneAggregators; // of all zones, as this gateway chose them
    InstanceId m_aggregator; // of this gateway
    Instant m_aggregatorHeardAt; // or when it was chosen
    MessageOrigin m_othersOrigin; // of the latest sum of all others
    RecentGatewayFailures m_recentFailures; // of aggregators
    std::int64_t m_ticks = 0;
};

} // namespace quetzalyoke

#endif
