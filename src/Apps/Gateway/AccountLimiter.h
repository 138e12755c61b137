#ifndef QUETZALYOKE_APPS_GATEWAY_ACCOUNTLIMITER_H
#define QUETZALYOKE_APPS_GATEWAY_ACCOUNTLIMITER_H

#include "Apps/Gateway/GatewayState.h"
#include "Core/Accounts/AccountShares.h"
#include "Core/Accounts/SharePlanner.h"
#include "Ports/AccountLimits.h"

#include <condition_variable>
#include <mutex>
#include <random>
#include <utility>
#include <vector>

namespace quetzalyoke {

/// \brief Applies this gateway's shares of the client accounts' quotas. Thread-safe.
///
/// Its lock is held only briefly and never during I/O. It is taken after GatewayState's lock.
class AccountLimiter : public AccountLimits
{
public:
    AccountLimiter(const InstanceId &self, Incarnation incarnation, SharePolicy policy);

    std::optional<Refusal> admit(const AccountId &account, const TokenEstimate &estimate,
                                 Instant now) override;
    Duration charge(const AccountId &account, Tokens n, Instant now) override;

    /// Applies a change that GatewayState reported to its listener.
    void onStateChanged(const GatewayState::Change &change);
    void recordPeerStatus(const PeerStatus &peer, Instant now);
    std::vector<AccountWorkload> demands() const;
    /// Takes up to \a n tokens from this gateway's share for another gateway; returns how many.
    Tokens lend(const AccountId &account, Tokens n, Instant now);
    void borrow(const AccountId &account, Tokens n, Instant startedAt);

    /// \brief A loan that waiting requests need.
    struct NeededLoan
    {
        AccountId account;
        Tokens tokens;
        std::vector<InstanceId> lenders; ///< Gateways with the most tokens first.
    };
    std::vector<NeededLoan> neededLoans(Instant now);
    /// Waits until a charge finds too few tokens; returns false after \a timeout.
    bool waitForShortage(std::chrono::milliseconds timeout);

    /// Measures the demand and returns the share rows to write. Shares of this gateway that are to
    /// shrink have already been reduced when it returns.
    std::vector<ShareWrite> planShareWrites(const ClusterView &cluster, const ServiceList &list,
                                            Instant now);
    /// Undoes the shrink for \a write, which has not taken effect and never will.
    void cancelShrink(const ShareWrite &write, Instant now);

private:
    mutable std::mutex m_mutex; // protects the members below
    std::condition_variable m_shortage;
    bool m_hasShortage = false;
    AccountShares m_shares;
    SharePlanner m_planner;
    Version m_configurationVersion;
    std::mt19937_64 m_random;
};

} // namespace quetzalyoke

#endif
