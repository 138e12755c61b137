#include "Apps/Gateway/AccountLimiter.h"

namespace quetzalyoke {

AccountLimiter::AccountLimiter(const InstanceId &self, Incarnation incarnation, SharePolicy policy)
    : m_shares(self, incarnation), m_planner(policy), m_random(std::random_device()())
{ }

std::optional<Refusal> AccountLimiter::admit(const AccountId &account,
                                             const TokenEstimate &estimate, Instant now)
{
    const std::lock_guard lock(m_mutex);
    return m_shares.admit(account, estimate.prompt, estimate.responseLimit, estimate.streamed, now);
}

Duration AccountLimiter::charge(const AccountId &account, Tokens n, Instant now)
{
    const std::lock_guard lock(m_mutex);
    const Duration wait = m_shares.charge(account, n, now);
    if (wait > Duration::zero() && !m_hasShortage) {
        m_hasShortage = true;
        m_shortage.notify_one();
    }
    return wait;
}

// Rows are applied before the freshness is extended, so that no tokens are spent from an outdated
// share.
void AccountLimiter::onStateChanged(const GatewayState::Change &change)
{
    const std::lock_guard lock(m_mutex);
    if (change.configuration != nullptr
        && change.configuration->version != m_configurationVersion) {
        m_configurationVersion = change.configuration->version;
        m_shares.configure(change.configuration->serviceList.accounts, change.now);
    }
    for (const auto &[account, known] : change.cluster.shareRows())
        m_shares.applyRow(account, known.row, known.version, change.now);
    m_shares.setFreshUntil(change.freshUntil);
}

void AccountLimiter::recordPeerStatus(const PeerStatus &peer, Instant now)
{
    const std::lock_guard lock(m_mutex);
    m_planner.updatePeer(peer, now);
}

std::vector<AccountWorkload> AccountLimiter::demands() const
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
    for (const auto &[account, tokens] : m_shares.tokenShortages(now))
        loans.push_back({account, tokens, m_planner.possibleLenders(account, now)});
    return loans;
}

bool AccountLimiter::waitForShortage(std::chrono::milliseconds timeout)
{
    std::unique_lock lock(m_mutex);
    m_shortage.wait_for(lock, timeout, [this] { return m_hasShortage; });
    return std::exchange(m_hasShortage, false);
}

std::vector<ShareWrite> AccountLimiter::planShareWrites(const ClusterView &cluster,
                                                        const ServiceList &list, Instant now)
{
    const std::lock_guard lock(m_mutex);
    m_shares.measureDemand(now);
    auto writes = m_planner.planWrites(cluster, m_shares, list.accounts, now, m_random);
    for (const ShareWrite &it : writes) {
        if (it.shrinkTo)
            m_shares.beginShrink(it.account, *it.shrinkTo, it.expectedVersion, now);
    }
    return writes;
}

void AccountLimiter::cancelShrink(const ShareWrite &write, Instant now)
{
    const std::lock_guard lock(m_mutex);
    if (write.shrinkTo)
        m_shares.cancelShrink(write.account, now);
}

} // namespace quetzalyoke
