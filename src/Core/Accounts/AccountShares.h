#ifndef QUETZALYOKE_CORE_ACCOUNTS_ACCOUNTSHARES_H
#define QUETZALYOKE_CORE_ACCOUNTS_ACCOUNTSHARES_H

#include "Core/Accounts/ShareBucket.h"
#include "Core/Configuration/ServiceList.h"
#include "Core/Requests/Refusal.h"
#include "Core/State/PeerStatus.h"

#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace quetzalyoke {

/// \brief This gateway's parts of the client accounts: charges, loans and demand.
///
/// A part shrinks here before the table says so, and grows only once the table has said so.
/// Nothing is spent after freshUntil.
class AccountShares
{
public:
    AccountShares(InstanceId self, Incarnation incarnation);

    /// Takes rates and bursts of the configuration in force.
    void configure(const std::map<AccountId, AccountEntry> &accounts, Instant now);
    /// Takes a share row as the table has it at \a version.
    void applyRow(const AccountId &account, const ShareRow &row, Version version, Instant now);
    void setFreshUntil(std::optional<Instant> until) { m_freshUntil = until; }

    /// Gives up all but \a weight before a row that says so is written over version \a expected.
    void beginShrink(const AccountId &account, ShareWeight weight, Version expected, Instant now);
    /// The write behind beginShrink() had no effect and never will.
    void cancelShrink(const AccountId &account, Instant now);

    /// The version whose change is in doubt since beginShrink().
    std::optional<Version> pendingShrinkVersion(const AccountId &account) const;
    /// What may be given away now; tokens that are lent have to stay covered.
    ShareWeight transferableWeight(const AccountId &account, Instant now);

    /// Why a request of \a prompt tokens may not start, or nothing. A whole answer is charged in
    /// one piece of prompt and \a responseLimit.
    std::optional<Refusal> admit(const AccountId &account, Tokens prompt, Tokens responseLimit,
                                 bool streamed, Instant now);
    /// Takes \a n tokens and returns zero, or takes nothing and returns how long to wait.
    Duration charge(const AccountId &account, Tokens n, Instant now);

    /// Takes up to \a n tokens for another gateway, to be handed out within loanLife.
    Tokens lend(const AccountId &account, Tokens n, Instant now);
    /// Adds \a n tokens that another gateway lent in a call begun at \a startedAt.
    void borrow(const AccountId &account, Tokens n, Instant startedAt);
    /// Tokens that requests wait for and the own part won't have soon, by account.
    std::vector<std::pair<AccountId, Tokens>> tokenShortages(Instant now);

    /// Demand by account since the last call, smoothed.
    std::vector<AccountWorkload> measureDemand(Instant now);
    /// The demand as last measured.
    const std::vector<AccountWorkload> &demands() const { return m_demands; }
    ShareWeight weightOf(const AccountId &account) const;

    static constexpr Duration loanLifetime = std::chrono::seconds(1);

private:
    struct Shrink
    {
        ShareWeight weight;
        Version expected;
    };
    struct Account
    {
        explicit Account(Instant now) : bucket(now) { }

        TokensPerSecond rate;
        Tokens burst;
        ShareBucket bucket;
        ShareWeight committedWeight; // as the table has it
        Version rowVersion;
        bool hadShareBefore = false; // had a part before, so a part never starts full again
        std::optional<Shrink> shrink;
        Tokens borrowed;
        Instant borrowedUntil;
        Instant surplusAt; // when tokens were last left over
        Instant deniedAt;
        Tokens
            largestDenied; // the largest charge that found too little, since the last measurement
        Tokens charged; // since the last measurement
        double demand = 0; // tokens a second
    };

    Account &findOrAddAccount(const AccountId &account, Instant now);
    void resize(Account &account, Instant now);
    bool isFresh(Instant now) const { return m_freshUntil && now <= *m_freshUntil; }
    bool tryConsume(Account &account, Tokens n, Instant now);
    void recordSurplus(Account &account, Tokens n, Instant now);

    const InstanceId m_self;
    const Incarnation m_incarnation;
    std::optional<Instant> m_freshUntil;
    std::unordered_map<AccountId, Account> m_accounts;
    std::vector<AccountWorkload> m_demands;
    std::optional<Instant> m_measuredAt;
};

} // namespace quetzalyoke

#endif
