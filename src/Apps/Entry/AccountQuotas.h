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
    /// \sa SharedQuota::setGatewayCount
    void setGatewayCount(std::size_t gateways, Duration silence);
    /// \a peer tells what it has spent, or what as many gateways as \a gateways have together.
    void updatePeerSpending(const InstanceId &peer, Incarnation incarnation,
                            const SpendingByAccount &spending, Instant now,
                            std::size_t gateways = 1);
    /// \sa SharedQuota::replacePeer
    void replacePeer(const InstanceId &peer, Instant now);
    void clearPeers();
    void markPeersSilent(Instant now);

    /// The quota of \a account; nullptr: it has no limit.
    SharedQuota *find(const AccountId &account);
    /// Of this gateway since its start, of accounts that have asked for anything.
    SpendingByAccount spending() const;

private:
    std::map<AccountId, SharedQuota> m_quotas;
    std::size_t m_gateways = 1;
    Duration m_silence{0};
};

/// What a call costs the account's quota.
double quotaCost(const ClientAccount &account, bool statesTokens, double tokens);

} // namespace quetzalyoke

#endif
