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
    : m_rate(ratePerSecond), m_burst(burst), m_at(now)
{ }

void SharedQuota::resize(double ratePerSecond, double burst, Instant now)
{
    advance(now);
    m_rate = ratePerSecond;
    m_burst = burst;
    m_level = std::min(m_level, burst);
    m_ownLevel = std::min(m_ownLevel, burst * ownShare());
}

void SharedQuota::advance(Instant now)
{
    if (now <= m_at)
        return;
    const double elapsed = inSeconds(now - m_at);
    double taken = 0;
    const double equalPart = m_rate / static_cast<double>(std::max<std::size_t>(1, m_gateways));
    std::size_t known = 1;
    std::size_t heard = 1;
    for (auto &[id, peer] : m_peers) {
        known += peer.gateways;
        if (now - peer.heardAt <= m_silence) {
            heard += peer.gateways;
            continue;
        }
        const double assumed = equalPart * elapsed * static_cast<double>(peer.gateways);
        peer.assumed += assumed;
        taken += assumed;
    }
    // Gateways that are known to exist and not heard of.
    if (m_gateways > known)
        taken += equalPart * elapsed * static_cast<double>(m_gateways - known);
    // Those who are not heard of may spend their parts of the burst, too.
    const double heardShare
        = std::min(1.0, static_cast<double>(heard) / static_cast<double>(m_gateways));
    m_level = std::min(m_burst * heardShare, m_level + m_rate * elapsed - taken);
    const double weight = std::min(1.0, elapsed / demandWindowSeconds);
    m_askedPerSecond += ((m_asked - m_askedBefore) / elapsed - m_askedPerSecond) * weight;
    m_askedBefore = m_asked;
    const double share = ownShare();
    m_ownLevel = std::min(m_burst * share, m_ownLevel + m_rate * share * elapsed);
    m_at = now;
}

double SharedQuota::ownShare() const
{
    const double all = askedByAll();
    const double even = 1.0 / static_cast<double>(m_gateways);
    const double byDemand = all > 0 ? m_askedPerSecond / all : even;
    return evenShare * even + (1 - evenShare) * byDemand;
}

double SharedQuota::askedByAll() const
{
    double all = m_askedPerSecond;
    for (const auto &[id, peer] : m_peers)
        all += peer.askedPerSecond;
    return all;
}

// Whether most other gateways should have been heard of again by now.
bool SharedQuota::isNewsLate() const
{
    std::size_t heard = 1;
    for (const auto &[id, peer] : m_peers) {
        if (inSeconds(m_at - peer.heardAt) <= lateShareOfSilence * inSeconds(m_silence))
            heard += peer.gateways;
    }
    return heard * 2 < m_gateways;
}

bool SharedQuota::keepsToItsPart() const
{
    if (m_gateways <= gatewaysWithFrequentNews || askedByAll() < pressingShare * m_rate)
        return false;
    // Credit that seems to be there may have been spent by those who are not heard of.
    return m_level < comfortableShare * m_burst || isNewsLate();
}

bool SharedQuota::charge(double cost, Instant now)
{
    advance(now);
    m_asked += cost;
    if (m_level <= 0 || (keepsToItsPart() && m_ownLevel <= 0))
        return false;
    m_level -= cost;
    // What was spent beyond the part while nothing pressed is no debt of the part.
    m_ownLevel = keepsToItsPart() ? m_ownLevel - cost : std::max(m_ownLevel - cost, 0.0);
    m_spent += cost;
    return true;
}

void SharedQuota::refund(double cost)
{
    m_level = std::min(m_burst, m_level + cost);
    m_ownLevel += cost;
    m_spent -= cost;
}

Duration SharedQuota::waitForCredit(Instant now)
{
    advance(now);
    if (m_rate <= 0)
        return Duration::zero();
    double wait = std::max(0.0, -m_level / m_rate);
    if (keepsToItsPart())
        wait = std::max(wait, -m_ownLevel / (m_rate * ownShare()));
    return Duration(static_cast<std::int64_t>(wait * 1e6) + 1);
}

void SharedQuota::takePeerSpent(const InstanceId &peer, Incarnation incarnation, double spent,
                                double asked, Instant now, std::size_t gateways)
{
    advance(now);
    auto [it, isNew] = m_peers.try_emplace(peer);
    Peer &known = it->second;
    const bool isRestart = !isNew && known.incarnation < incarnation;
    if (!isNew && incarnation < known.incarnation)
        return;
    // What a gateway spent before it was first heard of is unknown; its silence was counted.
    double fresh = isNew ? 0 : spent - known.spent;
    if (isRestart)
        fresh = spent;
    const double setOff = std::min(std::max(0.0, fresh), known.assumed);
    m_level -= fresh - setOff;
    const double elapsed = isNew ? 0 : inSeconds(now - known.heardAt);
    if (elapsed > 0) {
        const double perSecond = (isRestart ? asked : asked - known.asked) / elapsed;
        const double weight = std::min(1.0, elapsed / demandWindowSeconds);
        known.askedPerSecond += (perSecond - known.askedPerSecond) * weight;
        known.spentPerSecond += (fresh / elapsed - known.spentPerSecond) * weight;
    }
    known.incarnation = incarnation;
    known.gateways = gateways;
    known.spent = spent;
    known.asked = asked;
    known.heardAt = now;
    known.assumed = 0;
}

void SharedQuota::replacePeer(const InstanceId &peer, Instant now)
{
    advance(now);
    const auto it = m_peers.find(peer);
    if (it == m_peers.end())
        return;
    // After the silence it has been counted at its equal part.
    const Duration uncounted = std::min(now - it->second.heardAt, m_silence);
    m_level -= std::max(0.0, it->second.spentPerSecond) * inSeconds(uncounted);
    m_peers.erase(it);
}

void SharedQuota::setGateways(std::size_t gateways, Duration silence)
{
    m_gateways = std::max<std::size_t>(1, gateways);
    m_silence = silence;
}

void SharedQuota::suspectPeers(Instant now)
{
    for (auto &[id, peer] : m_peers)
        peer.heardAt = std::min(peer.heardAt, now - m_silence - Duration(1));
}

double SharedQuota::level(Instant now)
{
    advance(now);
    return m_level;
}

} // namespace quetzalyoke
