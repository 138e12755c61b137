#include "Core/Accounts/AccountShares.h"

#include <algorithm>

namespace quetzalyoke {

namespace {

constexpr Duration maxChargeWait
    = std::chrono::milliseconds(100); // before a refused charge is retried
constexpr Duration minChargeWait = std::chrono::milliseconds(1);
constexpr Duration minWaitToBorrow = std::chrono::milliseconds(20); // shorter waits trigger no loan
constexpr double loanRequestsPerSecond = 4;
constexpr Duration recentDenialWindow = std::chrono::milliseconds(500);
constexpr Duration maxTimeWithoutSurplus
    = std::chrono::seconds(10); // new requests are refused after this
constexpr std::chrono::milliseconds minRetryAfter{1000};
constexpr std::chrono::milliseconds maxRetryAfter{60'000};
constexpr std::int64_t surplusDivisor = 16; // a surplus is 1/16 of the burst
constexpr double smoothingFactor = 0.5; // weight of the newest demand sample

Refusal requestTooLarge(const AccountId &account, Tokens burst, Tokens needed)
{
    return {400,
            "request_too_large",
            "the request may take " + std::to_string(needed.count()) + " tokens, but account "
                + account.text() + " has a burst of " + std::to_string(burst.count())
                + "; lower the token limit or, for a long response, stream it",
            RunState::NotRun,
            {}};
}

Refusal rateLimited(const AccountId &account, Duration wait)
{
    const auto millis
        = std::chrono::ceil<std::chrono::milliseconds>(std::min<Duration>(wait, maxRetryAfter));
    return {429, "rate_limited",
            "account " + account.text()
                + " has exceeded its rate; retry after the time in Retry-After",
            RunState::NotRun, std::clamp(millis, minRetryAfter, maxRetryAfter)};
}

} // namespace

AccountShares::AccountShares(InstanceId self, Incarnation incarnation)
    : m_self(std::move(self)), m_incarnation(incarnation)
{ }

AccountShares::Account &AccountShares::findOrAddAccount(const AccountId &account, Instant now)
{
    auto [it, added] = m_accounts.try_emplace(account, now);
    if (added)
        it->second.surplusAt = now;
    return it->second;
}

void AccountShares::configure(const std::map<AccountId, AccountEntry> &accounts, Instant now)
{
    for (auto &[id, account] : m_accounts) {
        if (accounts.contains(id))
            continue;
        account.rate = TokensPerSecond();
        account.burst = Tokens();
        resize(account, now);
    }
    for (const auto &[id, entry] : accounts) {
        Account &account = findOrAddAccount(id, now);
        const bool newlyConfigured
            = account.burst == Tokens() && account.bucket.weight() > ShareWeight();
        account.rate = entry.rate;
        account.burst = entry.burst;
        resize(account, now);
        if (newlyConfigured && !account.hadShareBefore)
            account.bucket.fill(now);
        account.hadShareBefore = account.hadShareBefore || account.bucket.weight() > ShareWeight();
    }
}

// A share granted when the row was created starts full, because all those shares together make up
// one burst. Any other share starts empty, because its former holder may just have spent it.
void AccountShares::applyRow(const AccountId &id, const ShareRow &row, Version version, Instant now)
{
    Account &account = findOrAddAccount(id, now);
    if (version <= account.rowVersion)
        return;
    account.rowVersion = version;
    account.committedWeight = row.weightOf(m_self, m_incarnation);
    if (account.shrink && account.shrink->expected < version)
        account.shrink = std::nullopt;
    resize(account, now);
    if (account.burst == Tokens() && row.startsFull)
        return; // configure() fills the bucket once the burst is known
    if (row.startsFull && !account.hadShareBefore)
        account.bucket.fill(now);
    account.hadShareBefore = true;
}

void AccountShares::beginShrink(const AccountId &id, ShareWeight weight, Version expected,
                                Instant now)
{
    Account &account = findOrAddAccount(id, now);
    account.shrink = Shrink{weight, expected};
    resize(account, now);
}

void AccountShares::cancelShrink(const AccountId &id, Instant now)
{
    Account &account = findOrAddAccount(id, now);
    account.shrink = std::nullopt;
    resize(account, now);
}

std::optional<Version> AccountShares::pendingShrinkVersion(const AccountId &id) const
{
    const auto it = m_accounts.find(id);
    if (it == m_accounts.end() || !it->second.shrink)
        return std::nullopt;
    return it->second.shrink->expected;
}

ShareWeight AccountShares::transferableWeight(const AccountId &id, Instant now)
{
    const auto it = m_accounts.find(id);
    return it == m_accounts.end() ? ShareWeight() : it->second.bucket.unlentWeight(now);
}

void AccountShares::resize(Account &account, Instant now)
{
    const ShareWeight weight = account.shrink
        ? std::min(account.committedWeight, account.shrink->weight)
        : account.committedWeight;
    account.bucket.resize(account.rate, account.burst, weight, now);
}

std::optional<Refusal> AccountShares::admit(const AccountId &id, Tokens prompt,
                                            Tokens responseLimit, bool streamed, Instant now)
{
    const auto it = m_accounts.find(id);
    if (it == m_accounts.end())
        return std::nullopt; // the account has no shares yet, so the request waits
    Account &account = it->second;
    const Tokens initialCharge = streamed ? prompt : prompt + responseLimit;
    if (initialCharge > account.burst)
        return requestTooLarge(id, account.burst, initialCharge);
    recordSurplus(account, prompt, now);
    const bool isExhausted = now - account.surplusAt > maxTimeWithoutSurplus
        && now - account.deniedAt < recentDenialWindow;
    if (!isExhausted)
        return std::nullopt;
    const Tokens surplusThreshold(account.burst.count() / surplusDivisor);
    return rateLimited(id,
                       account.bucket.timeUntilAvailable(std::max(prompt, surplusThreshold), now));
}

Duration AccountShares::charge(const AccountId &id, Tokens n, Instant now)
{
    if (n <= Tokens(0))
        return Duration::zero();
    if (!isFresh(now))
        return maxChargeWait;
    Account &account = findOrAddAccount(id, now);
    recordSurplus(account, n, now);
    if (tryConsume(account, n, now)) {
        account.charged += n;
        return Duration::zero();
    }
    account.deniedAt = now;
    account.largestDenied = std::max(account.largestDenied, n);
    return std::clamp(account.bucket.timeUntilAvailable(n, now), minChargeWait, maxChargeWait);
}

bool AccountShares::tryConsume(Account &account, Tokens n, Instant now)
{
    if (now >= account.borrowedUntil)
        account.borrowed = Tokens();
    const Tokens fromLoan = std::min(n, account.borrowed);
    if (!account.bucket.tryConsume(n - fromLoan, now))
        return false;
    account.borrowed -= fromLoan;
    return true;
}

void AccountShares::recordSurplus(Account &account, Tokens n, Instant now)
{
    const std::int64_t shareBurst
        = account.burst.count() * account.bucket.weight().count() / ShareRow::fullWeight.count();
    const Tokens surplusThreshold(std::max<std::int64_t>(1, shareBurst / surplusDivisor));
    if (account.bucket.level(now) >= n + surplusThreshold)
        account.surplusAt = now;
}

Tokens AccountShares::lend(const AccountId &id, Tokens n, Instant now)
{
    const auto it = m_accounts.find(id);
    if (it == m_accounts.end() || !isFresh(now))
        return Tokens();
    // Tokens that this gateway's own requests wait for are not lent.
    if (now - it->second.deniedAt < recentDenialWindow)
        return Tokens();
    return it->second.bucket.lend(n, loanLifetime, now);
}

// The loan's lifetime counts from the start of the call, so that the loan expires here before it
// expires at the lender.
void AccountShares::borrow(const AccountId &id, Tokens n, Instant startedAt)
{
    Account &account = findOrAddAccount(id, startedAt);
    const Instant until = startedAt + loanLifetime;
    // All borrowed tokens expire at the earlier instant, so that none is used after its expiry.
    if (account.borrowed > Tokens())
        account.borrowedUntil = std::min(account.borrowedUntil, until);
    else
        account.borrowedUntil = until;
    account.borrowed += n;
}

std::vector<std::pair<AccountId, Tokens>> AccountShares::tokenShortages(Instant now)
{
    std::vector<std::pair<AccountId, Tokens>> shortages;
    for (auto &[id, account] : m_accounts) {
        if (account.largestDenied == Tokens() || now - account.deniedAt > recentDenialWindow)
            continue;
        if (account.bucket.timeUntilAvailable(account.largestDenied, now) <= minWaitToBorrow)
            continue;
        const Tokens availableLoan = now < account.borrowedUntil ? account.borrowed : Tokens();
        // Includes the demand until the next loan, so that a few calls a second cover all of it.
        const Tokens upcomingDemand(
            static_cast<std::int64_t>(account.demand / loanRequestsPerSecond));
        const Tokens shortage
            = account.largestDenied + upcomingDemand - availableLoan - account.bucket.level(now);
        if (shortage > Tokens())
            shortages.emplace_back(id, shortage);
    }
    return shortages;
}

std::vector<AccountWorkload> AccountShares::measureDemand(Instant now)
{
    const double elapsedSeconds
        = m_measuredAt ? std::chrono::duration<double>(now - *m_measuredAt).count() : 0;
    m_measuredAt = now;
    m_demands.clear();
    for (auto &[id, account] : m_accounts) {
        if (elapsedSeconds > 0) {
            // An account that waits needs more than it was charged. How much more is unknown, so
            // the rate is assumed to be twice what was charged.
            double requestedRate = static_cast<double>(account.charged.count()) / elapsedSeconds;
            if (account.largestDenied > Tokens())
                requestedRate
                    = 2 * requestedRate + static_cast<double>(account.largestDenied.count());
            requestedRate = std::min(requestedRate, static_cast<double>(account.rate.count()));
            account.demand
                = smoothingFactor * requestedRate + (1 - smoothingFactor) * account.demand;
        }
        account.charged = Tokens();
        account.largestDenied = Tokens();
        m_demands.push_back({id, account.bucket.weight(),
                             TokensPerSecond(static_cast<std::int64_t>(account.demand)),
                             account.bucket.level(now)});
    }
    return m_demands;
}

ShareWeight AccountShares::weightOf(const AccountId &id) const
{
    const auto it = m_accounts.find(id);
    return it == m_accounts.end() ? ShareWeight() : it->second.bucket.weight();
}

} // namespace quetzalyoke
