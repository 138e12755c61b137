#ifndef QUETZALYOKE_SERVING_ACCOUNTS_SHAREDQUOTA_H
#define QUETZALYOKE_SERVING_ACCOUNTS_SHAREDQUOTA_H

#include "Core/StrongTypes.h"

#include <map>
#include <optional>

namespace quetzalyoke {

/// \brief One account's rate and burst, kept by all gateways together.
///
/// Each gateway takes from the whole what it spends itself and what its peers say that they have
/// spent. A peer that has not been heard of for the silence limit counts as spending its equal
/// part of the rate, which is what it allows itself when it hears nobody. So the sum stays within
/// rate and burst also while gateways are cut off from each other; news that are late by d can
/// exceed it once by what all spend within d, and that is paid back from what follows. Where many
/// gateways make news too rare for that, each also keeps to its part of rate and burst, divided
/// by what has lately been asked of them, while all together are asked for about the rate or more
/// and credit runs low or news are late. Credit beyond the burst's part of those who are heard of
/// is not saved up, since the others may spend theirs.
class SharedQuota
{
public:
    /// Starts with nothing saved up: an earlier life may have spent the burst just before.
    SharedQuota(double ratePerSecond, double burst, Instant now);

    void setLimits(double ratePerSecond, double burst, Instant now);
    /// Charges \a cost if there is any credit. A cost may exceed it: the debt is paid back first.
    bool charge(double cost, Instant now);
    /// Gives back a charge for work that never ran.
    void refund(double cost);
    /// How long until there is credit again.
    Duration timeUntilCredit(Instant now);

    /// Sum of what this gateway has charged since its start; only rises, refunds aside.
    double spent() const { return m_spent; }
    /// Sum of what has been asked of it, refused or not.
    double requested() const { return m_requested; }
    /// \a peer tells its own spent() and asked(), or the sums of as many gateways as \a gateways.
    void updatePeerSpending(const InstanceId &peer, Incarnation incarnation, double spent,
                            double asked, Instant now, std::size_t gateways = 1);
    /// Gateways in all, this one included; a peer is silent after \a silence without news.
    void setGatewayCount(std::size_t gateways, Duration silence);
    /// Another one speaks for \a peer's gateways from now on. What they spent since its last news
    /// is taken to have gone on as before.
    void removeReplacedPeer(const InstanceId &peer, Instant now);
    void clearPeers() { m_peers.clear(); }
    /// Treats all peers as silent from \a now on, after this gateway has stood still.
    void markPeersSilent(Instant now);

    double credit(Instant now);

private:
    struct Peer
    {
        Incarnation incarnation;
        std::size_t gatewayCount = 1; // that it speaks for
        double spent = 0;
        Instant heardAt;
        double requested = 0;
        double requestedPerSecond = 0;
        double spentPerSecond = 0;
        double assumedSpent = 0; // counted for its silence, set off against its next news
    };

    void refill(Instant now);
    double totalRequestedPerSecond() const;
    bool arePeerReportsLate() const;
    double ownShare() const;
    bool enforcesOwnShare() const;

    double m_rate;
    double m_burst;
    double m_credit = 0;
    double m_spent = 0;
    double m_requested = 0;
    double m_requestedAtRefill = 0; // at m_at
    double m_requestedPerSecond = 0;
    double m_ownShareCredit = 0; // of this gateway's part
    Instant m_refilledAt;
    std::size_t m_gatewayCount = 1;
    Duration m_silenceTimeout{0};
    std::map<InstanceId, Peer> m_peers;
};

} // namespace quetzalyoke

#endif
