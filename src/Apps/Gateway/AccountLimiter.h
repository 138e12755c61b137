#ifndef QUETZALYOKE_APPS_GATEWAY_ACCOUNTLIMITER_H
#define QUETZALYOKE_APPS_GATEWAY_ACCOUNTLIMITER_H

#include "Apps/Gateway/SharedState.h"
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
/// One short lock without I/O; taken after SharedState's.
class AccountLimiter : public AccountLimits
{
public:
    AccountLimiter(const InstanceId &self, Incarnation incarnation, SharePolicy policy);

    std::optional<Refusal> admit(const AccountId &account, const TokenEstimate &estimate,
                                 Instant now) override;
    Duration charge(const AccountId &account, Tokens n, Instant now) override;

    /// Takes what SharedState tells its listener.
    void onChange(const SharedState::Change &change);
    void notePeer(const PeerStatus &peer, Instant now);
    std::vector<AccountDemand> demands() const;
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
    std::vector<ShareWrite> planWrites(const GatewaySync &sync, const ServiceList &list,
                                       Instant now);
    /// The shrink behind \a write had no effect and never will.
    void cancel(const ShareWrite &write, Instant now);

private:
    mutable std::mutex m_mutex; // of the members below
    std::condition_variable m_shortage;
    bool m_short = false;
    AccountShares m_shares;
    SharePlanner m_planner;
    Version m_configured;
    std::mt19937_64 m_random;
};

} // namespace quetzalyoke

#endif
