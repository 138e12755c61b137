#include "Serving/Accounts/SharedQuota.h"

#include <algorithm>

namespace quetzalyoke {

namespace {

// With more gateways than this, messages are too rare to bound what all spend between two of them,
// so each also keeps to its own share.
constexpr std::size_t maxGatewaysWithoutShares = 8;

// Averaging window of the demand at a gateway.
constexpr double demandWindowSeconds = 0.5;

// From this share of the rate on, the demand may use up the credit between two messages.
constexpr double highDemandShare = 0.9;

// Share of the burst; credit above it covers what all gateways spend between two messages.
constexpr double sufficientCreditShare = 0.6;

// Share of the silence timeout after which a message is late: one or two messages, or the gateways
// that send them, are lost.
constexpr double lateShareOfTimeout = 0.6;

// Part of the rate that is divided evenly over the gateways whatever the demand at them, so that
// one that was idle can start to spend.
constexpr double evenlyDividedShare = 0.2;

} // namespace

SharedQuota::SharedQuota(double ratePerSecond, double burst, Instant now)
    : m_rate(ratePerSecond), m_burst(burst), m_refilledAt(now)
{ }

void SharedQuota::setLimits(double ratePerSecond, double burst, Instant now)
{
    refill(now);
    m_rate = ratePerSecond;
    m_burst = burst;
    m_credit = std::min(m_credit, burst);
    m_ownShareCredit = std::min(m_ownShareCredit, burst * ownShare());
}

void SharedQuota::refill(Instant now)
{
    if (now <= m_refilledAt)
        return;
    const double elapsed = toSeconds(now - m_refilledAt);
    double spentBySilentPeers = 0;
    const double equalShare
        = m_rate / static_cast<double>(std::max<std::size_t>(1, m_gatewayCount));
    std::size_t knownGateways = 1;
    std::size_t heardGateways = 1;
    for (auto &[id, peer] : m_peers) {
        knownGateways += peer.gatewayCount;
        if (now - peer.heardAt <= m_silenceTimeout) {
            heardGateways += peer.gatewayCount;
            continue;
        }
        const double assumed = equalShare * elapsed * static_cast<double>(peer.gatewayCount);
        peer.assumedSpent += assumed;
        spentBySilentPeers += assumed;
    }
    // Gateways that exist and have never been heard of.
    if (m_gatewayCount > knownGateways)
        spentBySilentPeers
            += equalShare * elapsed * static_cast<double>(m_gatewayCount - knownGateways);
    // Gateways that are not heard of may spend their shares of the burst, too.
    const double heardShare
        = std::min(1.0, static_cast<double>(heardGateways) / static_cast<double>(m_gatewayCount));
    m_credit = std::min(m_burst * heardShare, m_credit + m_rate * elapsed - spentBySilentPeers);
    const double weight = std::min(1.0, elapsed / demandWindowSeconds);
    m_requestedPerSecond
        += ((m_requested - m_requestedAtRefill) / elapsed - m_requestedPerSecond) * weight;
    m_requestedAtRefill = m_requested;
    const double share = ownShare();
    m_ownShareCredit = std::min(m_burst * share, m_ownShareCredit + m_rate * share * elapsed);
    m_refilledAt = now;
}

double SharedQuota::ownShare() const
{
    const double totalRequested = totalRequestedPerSecond();
    const double even = 1.0 / static_cast<double>(m_gatewayCount);
    const double byDemand = totalRequested > 0 ? m_requestedPerSecond / totalRequested : even;
    return evenlyDividedShare * even + (1 - evenlyDividedShare) * byDemand;
}

double SharedQuota::totalRequestedPerSecond() const
{
    double totalRequested = m_requestedPerSecond;
    for (const auto &[id, peer] : m_peers)
        totalRequested += peer.requestedPerSecond;
    return totalRequested;
}

// Returns whether the messages of most gateways are late.
bool SharedQuota::arePeerReportsLate() const
{
    std::size_t heardGateways = 1;
    for (const auto &[id, peer] : m_peers) {
        if (toSeconds(m_refilledAt - peer.heardAt)
            <= lateShareOfTimeout * toSeconds(m_silenceTimeout))
            heardGateways += peer.gatewayCount;
    }
    return heardGateways * 2 < m_gatewayCount;
}

bool SharedQuota::enforcesOwnShare() const
{
    if (m_gatewayCount <= maxGatewaysWithoutShares
        || totalRequestedPerSecond() < highDemandShare * m_rate)
        return false;
    // Apparent credit may have been spent by gateways whose messages are late.
    return m_credit < sufficientCreditShare * m_burst || arePeerReportsLate();
}

bool SharedQuota::charge(double cost, Instant now)
{
    refill(now);
    m_requested += cost;
    if (m_credit <= 0 || (enforcesOwnShare() && m_ownShareCredit <= 0))
        return false;
    m_credit -= cost;
    // Spending beyond the own share while the share isn't enforced is no debt of the share.
    m_ownShareCredit
        = enforcesOwnShare() ? m_ownShareCredit - cost : std::max(m_ownShareCredit - cost, 0.0);
    m_spent += cost;
    return true;
}

void SharedQuota::refund(double cost)
{
    m_credit = std::min(m_burst, m_credit + cost);
    m_ownShareCredit += cost;
    m_spent -= cost;
}

Duration SharedQuota::timeUntilCredit(Instant now)
{
    refill(now);
    if (m_rate <= 0)
        return Duration::zero();
    double wait = std::max(0.0, -m_credit / m_rate);
    if (enforcesOwnShare())
        wait = std::max(wait, -m_ownShareCredit / (m_rate * ownShare()));
    return Duration(static_cast<std::int64_t>(wait * 1e6) + 1);
}

void SharedQuota::updatePeerSpending(const InstanceId &peer, Incarnation incarnation, double spent,
                                     double requested, Instant now, std::size_t gateways)
{
    refill(now);
    auto [it, isNew] = m_peers.try_emplace(peer);
    Peer &record = it->second;
    const bool isRestart = !isNew && record.incarnation < incarnation;
    if (!isNew && incarnation < record.incarnation)
        return;
    // What a gateway spent before its first message is unknown; it was counted as a silent gateway.
    double newlySpent = isNew ? 0 : spent - record.spent;
    if (isRestart)
        newlySpent = spent;
    const double alreadyCounted = std::min(std::max(0.0, newlySpent), record.assumedSpent);
    m_credit -= newlySpent - alreadyCounted;
    const double elapsed = isNew ? 0 : toSeconds(now - record.heardAt);
    if (elapsed > 0) {
        const double perSecond = (isRestart ? requested : requested - record.requested) / elapsed;
        const double weight = std::min(1.0, elapsed / demandWindowSeconds);
        record.requestedPerSecond += (perSecond - record.requestedPerSecond) * weight;
        record.spentPerSecond += (newlySpent / elapsed - record.spentPerSecond) * weight;
    }
    record.incarnation = incarnation;
    record.gatewayCount = gateways;
    record.spent = spent;
    record.requested = requested;
    record.heardAt = now;
    record.assumedSpent = 0;
}

void SharedQuota::removeReplacedPeer(const InstanceId &peer, Instant now)
{
    refill(now);
    const auto it = m_peers.find(peer);
    if (it == m_peers.end())
        return;
    // After the silence timeout it was counted at its equal share.
    const Duration uncounted = std::min(now - it->second.heardAt, m_silenceTimeout);
    m_credit -= std::max(0.0, it->second.spentPerSecond) * toSeconds(uncounted);
    m_peers.erase(it);
}

void SharedQuota::setGatewayCount(std::size_t gateways, Duration silenceTimeout)
{
    m_gatewayCount = std::max<std::size_t>(1, gateways);
    m_silenceTimeout = silenceTimeout;
}

void SharedQuota::markPeersSilent(Instant now)
{
    for (auto &[id, peer] : m_peers)
        peer.heardAt = std::min(peer.heardAt, now - m_silenceTimeout - Duration(1));
}

double SharedQuota::credit(Instant now)
{
    refill(now);
    return m_credit;
}

} // namespace quetzalyoke
