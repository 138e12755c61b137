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

/// \brief This gateway's parts of the client accounts, shared by its threads.
///
/// One short lock without I/O; taken after GatewayState's.
class AccountLimiter : public AccountLimits
{
public:
    AccountLimiter(const InstanceId &self, Incarnation incarnation, SharePolicy policy);

    std::optional<Refusal> admit(const AccountId &account, const TokenEstimate &estimate,
                                 Instant now) override;
    Duration charge(const AccountId &account, Tokens n, Instant now) override;

    /// Takes what GatewayState tells its listener.
    void onStateChanged(const GatewayState::Change &change);
    void recordPeerStatus(const PeerStatus &peer, Instant now);
    std::vector<AccountWorkload> demands() const;
    /// Takes tokens for another gateway.
    Tokens lend(const AccountId &account, Tokens n, Instant now);
    void borrow(const AccountId &account, Tokens n, Instant startedAt);

    /// A loan that requests wait for.
    struct NeededLoan
    {
        AccountId account;
        Tokens tokens;
        std::vector<InstanceId> lenders; ///< Those with the most first.
    };
    std::vector<NeededLoan> neededLoans(Instant now);
    /// Waits until a charge finds too little; false after \a timeout.
    bool waitForShortage(std::chrono::milliseconds timeout);

    /// Measures the demand and returns the share rows to write; own parts have shrunk already.
    std::vector<ShareWrite> planShareWrites(const ClusterView &sync, const ServiceList &list,
                                            Instant now);
    /// The shrink behind \a write had no effect and never will.
    void cancelShrink(const ShareWrite &write, Instant now);

private:
    mutable std::mutex m_mutex; // of the members below
    std::condition_variable m_shortage;
    bool m_hasShortage = false;
    AccountShares m_shares;
    SharePlanner m_planner;
    Version m_configurationVersion;
    std::mt19937_64 m_random;
};

} // namespace quetzalyoke

#endif
