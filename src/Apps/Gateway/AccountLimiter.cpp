#include "Apps/Gateway/AccountLimiter.h"

namespace quetzalyoke {

AccountLimiter::AccountLimiter(const InstanceId &self, Incarnation incarnation, SharePolicy policy)
    : m_shares(self, incarnation), m_planner(policy), m_random(std::random_device()())
{ }

std::optional<Refusal> AccountLimiter::admit(const AccountId &account,
                                             const TokenEstimate &estimate, Instant now)
{
    const std::lock_guard lock(m_mutex);
    return m_shares.admit(account, estimate.prompt, estimate.answerLimit, estimate.streamed, now);
}

Duration AccountLimiter::charge(const AccountId &account, Tokens n, Instant now)
{
    const std::lock_guard lock(m_mutex);
    const Duration wait = m_shares.charge(account, n, now);
    if (wait > Duration::zero() && !m_short) {
        m_short = true;
        m_shortage.notify_one();
    }
    return wait;
}

// The rows go before the longer freshness, so that nothing is spent by an outdated part.
void AccountLimiter::onChange(const SharedState::Change &change)
{
    const std::lock_guard lock(m_mutex);
    if (change.configuration != nullptr && change.configuration->version != m_configured) {
        m_configured = change.configuration->version;
        m_shares.configure(change.configuration->list.accounts, change.now);
    }
    for (const auto &[account, known] : change.sync.shares())
        m_shares.applyRow(account, known.row, known.version, change.now);
    m_shares.setFreshUntil(change.servingUntil);
}

void AccountLimiter::notePeer(const PeerStatus &peer, Instant now)
{
    const std::lock_guard lock(m_mutex);
    m_planner.notePeer(peer, now);
}

std::vector<AccountDemand> AccountLimiter::demands() const
{
    const std::lock_guard lock(m_mutex);
    return m_shares.demands();
}

Tokens AccountLimiter::lend(const AccountId &account, Tokens n, Instant now)
{
    const std::lock_guard lock(m_mutex);
    return m_shares.lend(account, n, now);
}

void AccountLimiter::borrow(const AccountId &account, Tokens n, Instant startedAt)
{
    const std::lock_guard lock(m_mutex);
    m_shares.borrow(account, n, startedAt);
}

std::vector<AccountLimiter::NeededLoan> AccountLimiter::neededLoans(Instant now)
{
    const std::lock_guard lock(m_mutex);
    std::vector<NeededLoan> loans;
    for (const auto &[account, tokens] : m_shares.missing(now))
        loans.push_back({account, tokens, m_planner.lenders(account, now)});
    return loans;
}

bool AccountLimiter::waitForShortage(std::chrono::milliseconds timeout)
{
    std::unique_lock lock(m_mutex);
    m_shortage.wait_for(lock, timeout, [this] { return m_short; });
    return std::exchange(m_short, false);
}

std::vector<ShareWrite> AccountLimiter::planWrites(const GatewaySync &sync, const ServiceList &list,
                                                   Instant now)
{
    const std::lock_guard lock(m_mutex);
    m_shares.measureDemand(now);
    auto writes = m_planner.plan(sync, m_shares, list.accounts, now, m_random);
    for (const ShareWrite &it : writes) {
        if (it.shrinkTo)
            m_shares.beginShrink(it.account, *it.shrinkTo, it.expected, now);
    }
    return writes;
}

void AccountLimiter::cancel(const ShareWrite &write, Instant now)
{
    const std::lock_guard lock(m_mutex);
    if (write.shrinkTo)
        m_shares.cancelShrink(write.account, now);
}

} // namespace quetzalyoke
