#include "Apps/Entry/AccountQuotas.h"

namespace quetzalyoke {

void AccountQuotas::setConfig(const ServingConfig &config, Instant now)
{
    for (const auto &[id, account] : config.accounts) {
        if (account.ratePerSecond <= 0) {
            m_quotas.erase(id);
            continue;
        }
        const auto [it, isNew]
            = m_quotas.try_emplace(id, account.ratePerSecond, account.burst, now);
        if (isNew)
            it->second.setGatewayCount(m_gateways, m_silenceTimeout);
        else
            it->second.setLimits(account.ratePerSecond, account.burst, now);
    }
}

void AccountQuotas::setGatewayCount(std::size_t gateways, Duration silenceTimeout)
{
    m_gateways = gateways;
    m_silenceTimeout = silenceTimeout;
    for (auto &[id, quota] : m_quotas)
        quota.setGatewayCount(gateways, silenceTimeout);
}

void AccountQuotas::updatePeerSpending(const InstanceId &peer, Incarnation incarnation,
                                       const SpendingByAccount &spending, Instant now,
                                       std::size_t gateways)
{
    for (auto &[id, quota] : m_quotas) {
        const auto it = spending.find(id);
        const AccountSpending reported = it == spending.end() ? AccountSpending() : it->second;
        quota.updatePeerSpending(peer, incarnation, reported.spent, reported.requested, now,
                                 gateways);
    }
}

void AccountQuotas::replacePeer(const InstanceId &peer, Instant now)
{
    for (auto &[id, quota] : m_quotas)
        quota.removeReplacedPeer(peer, now);
}

void AccountQuotas::clearPeers()
{
    for (auto &[id, quota] : m_quotas)
        quota.clearPeers();
}

void AccountQuotas::markPeersSilent(Instant now)
{
    for (auto &[id, quota] : m_quotas)
        quota.markPeersSilent(now);
}

SharedQuota *AccountQuotas::find(const AccountId &account)
{
    const auto it = m_quotas.find(account);
    return it == m_quotas.end() ? nullptr : &it->second;
}

SpendingByAccount AccountQuotas::spending() const
{
    SpendingByAccount spending;
    for (const auto &[id, quota] : m_quotas) {
        if (quota.requested() > 0)
            spending[id] = {quota.spent(), quota.requested()};
    }
    return spending;
}

double quotaCost(const ClientAccount &account, bool hasTokenCounts, double tokens)
{
    if (!account.countsTokens)
        return 1;
    return hasTokenCounts ? tokens : account.defaultTokenCharge;
}

} // namespace quetzalyoke
