#ifndef QUETZALYOKE_APPS_ENTRY_ACCOUNTQUOTAS_H
#define QUETZALYOKE_APPS_ENTRY_ACCOUNTQUOTAS_H

#include "Serving/Accounts/SharedQuota.h"
#include "Serving/Accounts/SpendingSums.h"
#include "Serving/State/ServingConfig.h"

namespace quetzalyoke {

/// \brief The shared quotas of all accounts that have a limit.
class AccountQuotas
{
public:
    void setConfig(const ServingConfig &config, Instant now);
    /// A peer counts as silent after \a silenceTimeout without a message.
    /// \sa SharedQuota::setGatewayCount
    void setGatewayCount(std::size_t gateways, Duration silenceTimeout);
    /// Records the spending that \a peer reports: its own, or the sum of \a gateways gateways.
    void updatePeerSpending(const InstanceId &peer, Incarnation incarnation,
                            const SpendingByAccount &spending, Instant now,
                            std::size_t gateways = 1);
    /// \sa SharedQuota::replacePeer
    void replacePeer(const InstanceId &peer, Instant now);
    void clearPeers();
    void markPeersSilent(Instant now);

    /// Returns the quota of \a account; nullptr if the account has no limit.
    SharedQuota *find(const AccountId &account);
    /// Returns what this gateway has spent since its start, for accounts that have sent requests.
    SpendingByAccount spending() const;

private:
    std::map<AccountId, SharedQuota> m_quotas;
    std::size_t m_gateways = 1;
    Duration m_silenceTimeout{0};
};

/// Returns what a request costs the quota of \a account: 1 if it counts requests; otherwise
/// \a tokens, or the account's default charge if the request does not state its tokens.
double quotaCost(const ClientAccount &account, bool hasTokenCounts, double tokens);

} // namespace quetzalyoke

#endif
