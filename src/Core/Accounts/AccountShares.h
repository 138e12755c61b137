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

/// \brief Manages this gateway's shares of the client accounts: charges, loans and demand.
///
/// A share shrinks here before the smaller share is written to the table, and grows only after the
/// table shows the larger one. No tokens are charged after the time set by setFreshUntil().
class AccountShares
{
public:
    AccountShares(InstanceId self, Incarnation incarnation);

    /// Applies the rates and bursts of the configuration in force.
    void configure(const std::map<AccountId, AccountEntry> &accounts, Instant now);
    /// Applies the share row that the table holds at \a version.
    void applyRow(const AccountId &account, const ShareRow &row, Version version, Instant now);
    void setFreshUntil(std::optional<Instant> until) { m_freshUntil = until; }

    /// Reduces the share to \a weight, before a row with this weight replaces version \a expected.
    void beginShrink(const AccountId &account, ShareWeight weight, Version expected, Instant now);
    /// Reverts beginShrink() after its write is known to have no effect, now or later.
    void cancelShrink(const AccountId &account, Instant now);

    /// Returns the row version that the write of an unresolved beginShrink() is to replace.
    std::optional<Version> pendingShrinkVersion(const AccountId &account) const;
    /// Returns the weight that may be transferred now. Lent tokens stay covered by the rest.
    ShareWeight transferableWeight(const AccountId &account, Instant now);

    /// Returns why a request with \a prompt tokens may not start, or nothing if it may. Unless it
    /// is \a streamed, prompt and \a responseLimit are charged together.
    std::optional<Refusal> admit(const AccountId &account, Tokens prompt, Tokens responseLimit,
                                 bool streamed, Instant now);
    /// Charges \a n tokens and returns zero, or charges nothing and returns how long to wait.
    Duration charge(const AccountId &account, Tokens n, Instant now);

    /// Lends up to \a n tokens to another gateway, which must use them within loanLifetime. Returns
    /// the number of tokens lent.
    Tokens lend(const AccountId &account, Tokens n, Instant now);
    /// Adds \a n tokens that another gateway lent in a call started at \a startedAt.
    void borrow(const AccountId &account, Tokens n, Instant startedAt);
    /// Returns, by account, the tokens that requests wait for and that the share won't have soon.
    std::vector<std::pair<AccountId, Tokens>> tokenShortages(Instant now);

    /// Measures and returns the smoothed demand of each account since the last call.
    std::vector<AccountWorkload> measureDemand(Instant now);
    /// Returns the demand as last measured.
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
        ShareWeight committedWeight; // as stored in the table
        Version rowVersion;
        bool hadShareBefore = false; // a later share never starts full again
        std::optional<Shrink> shrink;
        Tokens borrowed;
        Instant borrowedUntil;
        Instant surplusAt; // when a charge last left enough tokens
        Instant deniedAt;
        Tokens largestDenied; // the largest charge refused since the last measurement
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
