#include "Core/Accounts/AccountShares.h"

#include <algorithm>

namespace quetzalyoke {

namespace {

constexpr Duration longestWait = std::chrono::milliseconds(100); // before a charge is tried again
constexpr Duration shortestWait = std::chrono::milliseconds(1);
constexpr Duration borrowAbove = std::chrono::milliseconds(20); // waits shorter than this don't
constexpr double loansPerSecond = 4;
constexpr Duration deniedLately = std::chrono::milliseconds(500);
constexpr Duration longestDry = std::chrono::seconds(10); // then new requests are refused
constexpr std::chrono::milliseconds shortestRetry{1000};
constexpr std::chrono::milliseconds longestRetry{60'000};
constexpr std::int64_t ampleFraction = 16; // of the part's burst
constexpr double newestWeight = 0.5; // in the smoothed demand

Refusal tooLarge(const AccountId &account, Tokens burst, Tokens needed)
{
    return {400,
            "request_too_large",
            "the request may take " + std::to_string(needed.count()) + " tokens, but account "
                + account.text() + " has a burst of " + std::to_string(burst.count())
                + "; ask for less or, for a long answer, stream it",
            RunState::NotRun,
            {}};
}

Refusal rateLimited(const AccountId &account, Duration wait)
{
    const auto millis
        = std::chrono::ceil<std::chrono::milliseconds>(std::min<Duration>(wait, longestRetry));
    return {429, "rate_limited",
            "account " + account.text() + " is beyond its rate; ask again after Retry-After",
            RunState::NotRun, std::clamp(millis, shortestRetry, longestRetry)};
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
        const bool first = account.burst == Tokens() && account.bucket.weight() > ShareWeight();
        account.rate = entry.rate;
        account.burst = entry.burst;
        resize(account, now);
        if (first && !account.hadShareBefore)
            account.bucket.fill(now);
        account.hadShareBefore = account.hadShareBefore || account.bucket.weight() > ShareWeight();
    }
}

// A part that was given at the row's creation starts full: together those parts are one burst.
// Any other starts empty, since its former holder may just have spent it.
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
        return; // filled by configure(), once the burst is known
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
        return std::nullopt; // not shared out yet: the request waits
    Account &account = it->second;
    const Tokens atOnce = streamed ? prompt : prompt + responseLimit;
    if (atOnce > account.burst)
        return tooLarge(id, account.burst, atOnce);
    recordSurplus(account, prompt, now);
    const bool dry = now - account.surplusAt > longestDry && now - account.deniedAt < deniedLately;
    if (!dry)
        return std::nullopt;
    const Tokens ample(account.burst.count() / ampleFraction);
    return rateLimited(id, account.bucket.timeUntilAvailable(std::max(prompt, ample), now));
}

Duration AccountShares::charge(const AccountId &id, Tokens n, Instant now)
{
    if (n <= Tokens(0))
        return Duration::zero();
    if (!isFresh(now))
        return longestWait;
    Account &account = findOrAddAccount(id, now);
    recordSurplus(account, n, now);
    if (tryConsume(account, n, now)) {
        account.charged += n;
        return Duration::zero();
    }
    account.deniedAt = now;
    account.largestDenied = std::max(account.largestDenied, n);
    return std::clamp(account.bucket.timeUntilAvailable(n, now), shortestWait, longestWait);
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
    const std::int64_t part
        = account.burst.count() * account.bucket.weight().count() / ShareRow::fullWeight.count();
    const Tokens ample(std::max<std::int64_t>(1, part / ampleFraction));
    if (account.bucket.level(now) >= n + ample)
        account.surplusAt = now;
}

Tokens AccountShares::lend(const AccountId &id, Tokens n, Instant now)
{
    const auto it = m_accounts.find(id);
    if (it == m_accounts.end() || !isFresh(now))
        return Tokens();
    // What own requests wait for is not lent.
    if (now - it->second.deniedAt < deniedLately)
        return Tokens();
    return it->second.bucket.lend(n, loanLifetime, now);
}

// Counted from the start of the call, so the loan ends here before it ends at the lender.
void AccountShares::borrow(const AccountId &id, Tokens n, Instant startedAt)
{
    Account &account = findOrAddAccount(id, startedAt);
    const Instant until = startedAt + loanLifetime;
    // One end for all: the earlier one, so that no loan outlives its own.
    if (account.borrowed > Tokens())
        account.borrowedUntil = std::min(account.borrowedUntil, until);
    else
        account.borrowedUntil = until;
    account.borrowed += n;
}

std::vector<std::pair<AccountId, Tokens>> AccountShares::tokenShortages(Instant now)
{
    std::vector<std::pair<AccountId, Tokens>> found;
    for (auto &[id, account] : m_accounts) {
        if (account.largestDenied == Tokens() || now - account.deniedAt > deniedLately)
            continue;
        if (account.bucket.timeUntilAvailable(account.largestDenied, now) <= borrowAbove)
            continue;
        const Tokens loan = now < account.borrowedUntil ? account.borrowed : Tokens();
        // Enough for a while, so that a few calls a second carry the whole demand.
        const Tokens soon(static_cast<std::int64_t>(account.demand / loansPerSecond));
        const Tokens lacking = account.largestDenied + soon - loan - account.bucket.level(now);
        if (lacking > Tokens())
            found.emplace_back(id, lacking);
    }
    return found;
}

std::vector<AccountWorkload> AccountShares::measureDemand(Instant now)
{
    const double seconds
        = m_measuredAt ? std::chrono::duration<double>(now - *m_measuredAt).count() : 0;
    m_measuredAt = now;
    m_demands.clear();
    for (auto &[id, account] : m_accounts) {
        if (seconds > 0) {
            // Whoever waits wants more than it got; how much more nobody knows, so twice that.
            double wanted = static_cast<double>(account.charged.count()) / seconds;
            if (account.largestDenied > Tokens())
                wanted = 2 * wanted + static_cast<double>(account.largestDenied.count());
            wanted = std::min(wanted, static_cast<double>(account.rate.count()));
            account.demand = newestWeight * wanted + (1 - newestWeight) * account.demand;
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
