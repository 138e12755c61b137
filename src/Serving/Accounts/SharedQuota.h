#ifndef QUETZALYOKE_SERVING_ACCOUNTS_SHAREDQUOTA_H
#define QUETZALYOKE_SERVING_ACCOUNTS_SHAREDQUOTA_H

#include "Core/StrongTypes.h"

#include <map>
#include <optional>

namespace quetzalyoke {

/// \brief Quota of one account, enforced by all gateways together.
///
/// Each gateway subtracts from the whole quota what it spends itself and what its peers report as
/// spent. A peer without a message for the silence timeout counts as spending its equal share of
/// the rate, which is what a gateway allows itself when it hears of no other. So the sum stays
/// within the quota also while gateways can't reach each other. Messages that are late by a time d
/// can exceed it once by what all gateways spend within d; later credit pays this back.
/// With many gateways, messages are too rare for that. Each gateway then also keeps to its own
/// share of rate and burst, proportional to the recent demand at it, while the total demand is
/// about the rate or more and either credit is low or messages are late. Credit is saved up only to
/// the share of the burst of the gateways that are heard of, since the others may spend theirs.
class SharedQuota
{
public:
    /// Starts without credit, since an earlier incarnation may have just spent the burst.
    SharedQuota(double ratePerSecond, double burst, Instant now);

    void setLimits(double ratePerSecond, double burst, Instant now);
    /// Charges \a cost and returns true if there is any credit. A cost may exceed the credit; the
    /// debt must be refilled before the next charge.
    bool charge(double cost, Instant now);
    /// Refunds a charge for work that never ran.
    void refund(double cost);
    /// Returns how long it takes until there is credit again.
    Duration timeUntilCredit(Instant now);

    /// Returns the rate that this gateway may spend while all gateways use up the quota.
    double ownRatePerSecond() const { return m_rate * ownShare(); }

    /// Returns the sum of this gateway's charges since its start, less refunds.
    double spent() const { return m_spent; }
    /// Returns the sum of all costs requested from this gateway, refused ones included.
    double requested() const { return m_requested; }
    /// Applies a report of \a peer: its own spent() and requested(), or the sums of \a gateways
    /// gateways.
    void updatePeerSpending(const InstanceId &peer, Incarnation incarnation, double spent,
                            double requested, Instant now, std::size_t gateways = 1);
    /// Sets the number of all gateways, this one included. A peer counts as silent after
    /// \a silenceTimeout without a message.
    void setGatewayCount(std::size_t gateways, Duration silenceTimeout);
    /// Removes \a peer, whose gateways another one reports for from now on. They are assumed to
    /// have spent at the same rate as before since its last message.
    void removeReplacedPeer(const InstanceId &peer, Instant now);
    void clearPeers() { m_peers.clear(); }
    /// Treats all peers as silent from \a now on, after this gateway was suspended.
    void markPeersSilent(Instant now);

    double credit(Instant now);

private:
    struct Peer
    {
        Incarnation incarnation;
        std::size_t gatewayCount = 1; // number of gateways in its sums
        double spent = 0;
        Instant heardAt;
        double requested = 0;
        double requestedPerSecond = 0;
        double spentPerSecond = 0;
        double assumedSpent = 0; // counted while it was silent, deducted from its next report
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
    double m_requestedAtRefill = 0; // m_requested at m_refilledAt
    double m_requestedPerSecond = 0;
    double m_ownShareCredit = 0; // of this gateway's own share
    Instant m_refilledAt;
    std::size_t m_gatewayCount = 1;
    Duration m_silenceTimeout{0};
    std::map<InstanceId, Peer> m_peers;
};

} // namespace quetzalyoke

#endif
