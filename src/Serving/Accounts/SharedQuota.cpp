#include "Serving/Accounts/SharedQuota.h"

#include <algorithm>

namespace quetzalyoke {

namespace {

// Beyond this many gateways news are too rare to bound what all spend between two of them.
constexpr std::size_t gatewaysWithFrequentNews = 8;

// Over which the demand at a gateway is averaged.
constexpr double demandWindowSeconds = 0.5;

// From this share of the rate on, what is asked may use up the credit between two news.
constexpr double pressingShare = 0.9;

// Of the burst: credit above it covers what all spend between two news.
constexpr double comfortableShare = 0.6;

// Of the silence limit: a message or two have been lost, or the gateways that sent them.
constexpr double lateShareOfSilence = 0.6;

// Of the rate, divided evenly over the gateways whatever is asked of them, so that one that was
// idle can begin.
constexpr double evenShare = 0.2;

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
    double taken = 0;
    const double equalPart = m_rate / static_cast<double>(std::max<std::size_t>(1, m_gatewayCount));
    std::size_t known = 1;
    std::size_t heard = 1;
    for (auto &[id, peer] : m_peers) {
        known += peer.gatewayCount;
        if (now - peer.heardAt <= m_silenceTimeout) {
            heard += peer.gatewayCount;
            continue;
        }
        const double assumed = equalPart * elapsed * static_cast<double>(peer.gatewayCount);
        peer.assumedSpent += assumed;
        taken += assumed;
    }
    // Gateways that are known to exist and not heard of.
    if (m_gatewayCount > known)
        taken += equalPart * elapsed * static_cast<double>(m_gatewayCount - known);
    // Those who are not heard of may spend their parts of the burst, too.
    const double heardShare
        = std::min(1.0, static_cast<double>(heard) / static_cast<double>(m_gatewayCount));
    m_credit = std::min(m_burst * heardShare, m_credit + m_rate * elapsed - taken);
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
    const double all = totalRequestedPerSecond();
    const double even = 1.0 / static_cast<double>(m_gatewayCount);
    const double byDemand = all > 0 ? m_requestedPerSecond / all : even;
    return evenShare * even + (1 - evenShare) * byDemand;
}

double SharedQuota::totalRequestedPerSecond() const
{
    double all = m_requestedPerSecond;
    for (const auto &[id, peer] : m_peers)
        all += peer.requestedPerSecond;
    return all;
}

// Whether most other gateways should have been heard of again by now.
bool SharedQuota::arePeerReportsLate() const
{
    std::size_t heard = 1;
    for (const auto &[id, peer] : m_peers) {
        if (toSeconds(m_refilledAt - peer.heardAt)
            <= lateShareOfSilence * toSeconds(m_silenceTimeout))
            heard += peer.gatewayCount;
    }
    return heard * 2 < m_gatewayCount;
}

bool SharedQuota::enforcesOwnShare() const
{
    if (m_gatewayCount <= gatewaysWithFrequentNews
        || totalRequestedPerSecond() < pressingShare * m_rate)
        return false;
    // Credit that seems to be there may have been spent by those who are not heard of.
    return m_credit < comfortableShare * m_burst || arePeerReportsLate();
}

bool SharedQuota::charge(double cost, Instant now)
{
    refill(now);
    m_requested += cost;
    if (m_credit <= 0 || (enforcesOwnShare() && m_ownShareCredit <= 0))
        return false;
    m_credit -= cost;
    // What was spent beyond the part while nothing pressed is no debt of the part.
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
                                     double asked, Instant now, std::size_t gateways)
{
    refill(now);
    auto [it, isNew] = m_peers.try_emplace(peer);
    Peer &known = it->second;
    const bool isRestart = !isNew && known.incarnation < incarnation;
    if (!isNew && incarnation < known.incarnation)
        return;
    // What a gateway spent before it was first heard of is unknown; its silence was counted.
    double fresh = isNew ? 0 : spent - known.spent;
    if (isRestart)
        fresh = spent;
    const double setOff = std::min(std::max(0.0, fresh), known.assumedSpent);
    m_credit -= fresh - setOff;
    const double elapsed = isNew ? 0 : toSeconds(now - known.heardAt);
    if (elapsed > 0) {
        const double perSecond = (isRestart ? asked : asked - known.requested) / elapsed;
        const double weight = std::min(1.0, elapsed / demandWindowSeconds);
        known.requestedPerSecond += (perSecond - known.requestedPerSecond) * weight;
        known.spentPerSecond += (fresh / elapsed - known.spentPerSecond) * weight;
    }
    known.incarnation = incarnation;
    known.gatewayCount = gateways;
    known.spent = spent;
    known.requested = asked;
    known.heardAt = now;
    known.assumedSpent = 0;
}

void SharedQuota::removeReplacedPeer(const InstanceId &peer, Instant now)
{
    refill(now);
    const auto it = m_peers.find(peer);
    if (it == m_peers.end())
        return;
    // After the silence it has been counted at its equal part.
    const Duration uncounted = std::min(now - it->second.heardAt, m_silenceTimeout);
    m_credit -= std::max(0.0, it->second.spentPerSecond) * toSeconds(uncounted);
    m_peers.erase(it);
}

void SharedQuota::setGatewayCount(std::size_t gateways, Duration silence)
{
    m_gatewayCount = std::max<std::size_t>(1, gateways);
    m_silenceTimeout = silence;
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
