#ifndef QUETZALYOKE_SERVING_ACCOUNTS_SPENDINGRELAY_H
#define QUETZALYOKE_SERVING_ACCOUNTS_SPENDINGRELAY_H

#include "Serving/Accounts/SpendingSums.h"
#include "Serving/State/StoreReaderElection.h"

#include <functional>

namespace quetzalyoke {

/// \brief What gateways tell each other of their accounts' spending where they are too many for
/// each to tell all others often; no I/O.
///
/// Answers an account that suddenly asks for several times its rate at hundreds of gateways. Each
/// gateway tells one speaker of its availability zone what it has spent, the speakers exchange the
/// sums of their members, and each tells its members what all others have spent. News are at most
/// three intervals old, and a gateway that is no speaker sends and gets one message an interval,
/// however many there are.
///
/// Every gateway chooses its speaker by itself. If two differ, the zone has two speakers, whose
/// sums complete each other; a speaker that falls silent is replaced after the silence.
class SpendingRelay
{
public:
    enum class MessageKind {
        MemberSpending, ///< To its speaker: what the sender has spent.
        MembersSum, ///< To other speakers: the sum of the sender's members.
        OthersSum, ///< To a member: the sum of all gateways but itself.
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
        /// Until a gateway that tells nothing is left out, or a speaker replaced: two messages in a
        /// row are lost, or it is.
        Duration silenceTimeout{900'000};
        /// After a speaker failed: two speakers cost a zone little, each change costs a silence.
        Duration exclusionAfterFailure{30'000'000};
    };
    struct Hooks
    {
        /// All other gateways that are heard of have spent \a sum since the start of \a speaker.
        std::function<void(const MessageOrigin &speaker, const SpendingSum &sum)> onOthersSum;
        /// What \a speaker has told counts no more; another one has taken over.
        std::function<void(const InstanceId &speaker)> onAggregatorReplaced;
    };

    SpendingRelay(const Settings &settings, GatewayCandidate self, Hooks hooks);

    /// What is to be sent now. \a own is cumulative since the start of this gateway's \a
    /// incarnation.
    std::vector<OutgoingMessage> tick(const std::vector<GatewayCandidate> &peers,
                                      Incarnation incarnation, const SpendingByAccount &own,
                                      Instant now);
    void onMessage(const MessageOrigin &from, const Message &message, Instant now);
    /// This gateway has stood still: its speaker may well have spoken meanwhile.
    void onResumed(Instant now) { m_aggregatorHeardAt = now; }
    /// Whether other gateways rely on this one.
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
    std::map<ZoneName, InstanceId> m_zoneAggregators; // of all zones, as this gateway sees them
    InstanceId m_aggregator; // of this gateway
    Instant m_aggregatorHeardAt; // or chosen
    MessageOrigin m_othersOrigin; // the latest sum of all others
    RecentGatewayFailures m_recentFailures; // of speakers
    std::int64_t m_ticks = 0;
};

} // namespace quetzalyoke

#endif
