#include "Serving/Accounts/SpendingRelay.h"

#include <set>

namespace quetzalyoke {

SpendingRelay::SpendingRelay(const Settings &settings, GatewayCandidate self, Hooks hooks)
    : m_settings(settings), m_self(std::move(self)), m_hooks(std::move(hooks)),
      m_sums(settings.silenceTimeout), m_recentFailures(settings.exclusionAfterFailure)
{ }

std::vector<GatewayCandidate>
SpendingRelay::eligibleCandidates(const std::vector<GatewayCandidate> &peers, Instant now) const
{
    std::vector<GatewayCandidate> candidates{m_self};
    for (const GatewayCandidate &peer : peers) {
        if (peer.instance == m_self.instance
            || m_recentFailures.hasFailedRecently(peer.instance, now))
            continue;
        candidates.push_back(peer);
    }
    return candidates;
}

void SpendingRelay::chooseAggregator(const std::vector<GatewayCandidate> &peers, Instant now)
{
    const bool isOther = !m_aggregator.isEmpty() && m_aggregator != m_self.instance;
    if (isOther && now - m_aggregatorHeardAt > m_settings.silenceTimeout)
        m_recentFailures.recordFailure(m_aggregator, now);
    m_zoneAggregators = chooseZoneAggregators(eligibleCandidates(peers, now));
    const InstanceId &chosen = m_zoneAggregators[m_self.zone];
    if (chosen == m_aggregator)
        return;
    m_aggregator = chosen;
    m_aggregatorHeardAt = now;
}

std::vector<SpendingRelay::OutgoingMessage>
SpendingRelay::tick(const std::vector<GatewayCandidate> &peers, Incarnation incarnation,
                    const SpendingByAccount &own, Instant now)
{
    ++m_ticks;
    m_sums.excludeSilentSources(now);
    chooseAggregator(peers, now);
    std::vector<OutgoingMessage> messages;
    if (m_aggregator == m_self.instance) {
        const MessageOrigin self{m_self.instance, incarnation, m_ticks};
        m_sums.updateMember(self, {own, 1, hasJustStarted()}, now);
        applyOthersSum(self, m_sums.sumOfOthers(m_self.instance), now);
    } else {
        messages.push_back(
            {m_aggregator, {MessageKind::MemberSpending, {own, 1, hasJustStarted()}}});
    }
    if (hasMembers())
        addSumMessages(messages);
    return messages;
}

void SpendingRelay::addSumMessages(std::vector<OutgoingMessage> &messages) const
{
    for (const InstanceId &member : m_sums.members()) {
        if (member != m_self.instance)
            messages.push_back({member, {MessageKind::OthersSum, m_sums.sumOfOthers(member)}});
    }
    // An aggregator that this gateway would not choose has members that report to no other one.
    std::set<InstanceId> otherAggregators;
    for (const auto &[zone, aggregator] : m_zoneAggregators)
        otherAggregators.insert(aggregator);
    for (const InstanceId &aggregator : m_sums.aggregators())
        otherAggregators.insert(aggregator);
    otherAggregators.erase(m_self.instance);
    SpendingSum sum = m_sums.sumOfMembers();
    sum.isAllFresh = hasJustStarted();
    for (const InstanceId &aggregator : otherAggregators)
        messages.push_back({aggregator, {MessageKind::MembersSum, sum}});
}

bool SpendingRelay::hasJustStarted() const
{
    return m_ticks * m_settings.tickInterval <= m_settings.silenceTimeout;
}

void SpendingRelay::onMessage(const MessageOrigin &from, const Message &message, Instant now)
{
    switch (message.kind) {
    case MessageKind::MemberSpending:
        m_sums.updateMember(from, message.sum, now);
        break;
    case MessageKind::MembersSum:
        m_sums.updateAggregator(from, message.sum, now);
        break;
    case MessageKind::OthersSum:
        if (from.instance == m_aggregator)
            applyOthersSum(from, message.sum, now);
        break;
    }
}

void SpendingRelay::applyOthersSum(const MessageOrigin &from, const SpendingSum &sum, Instant now)
{
    m_aggregatorHeardAt = now;
    if (from.instance != m_othersOrigin.instance) {
        if (!m_othersOrigin.instance.isEmpty())
            m_hooks.onAggregatorReplaced(m_othersOrigin.instance);
    } else if (from.incarnation < m_othersOrigin.incarnation
               || (from.incarnation == m_othersOrigin.incarnation
                   && from.sequence <= m_othersOrigin.sequence)) {
        return;
    }
    m_othersOrigin = from;
    m_hooks.onOthersSum(from, sum);
}

} // namespace quetzalyoke
