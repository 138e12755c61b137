#ifndef QUETZALYOKE_APPS_ENTRY_ACCOUNTQUOTAS_H
#define QUETZALYOKE_APPS_ENTRY_ACCOUNTQUOTAS_H

#include "Serving/ServingConfig.h"
#include "Serving/SharedQuota.h"

namespace quetzalyoke {

/// \brief What one gateway has handed out of an account's quota since its start.
struct AccountSpending
{
    double spent = 0;
    double asked = 0; ///< Refused requests included.
};

/// \brief The shared quotas of all accounts that have a limit.
class AccountQuotas
{
public:
    void setConfig(const ServingConfig &config, Instant now);
    /// \sa SharedQuota::setGateways
    void setGateways(std::size_t gateways, Duration silence);
    void takePeerSpending(const InstanceId &peer, Incarnation incarnation,
                          const std::map<AccountId, AccountSpending> &spending, Instant now);
    void forgetPeer(const InstanceId &peer);
    void suspectPeers(Instant now);

    /// The quota of \a account; nullptr: it has no limit.
    SharedQuota *find(const AccountId &account);
    std::map<AccountId, AccountSpending> spending() const;

private:
    std::map<AccountId, SharedQuota> m_quotas;
    std::size_t m_gateways = 1;
    Duration m_silence{0};
};

/// What \a call costs the account's quota.
double quotaCost(const ClientAccount &account, bool statesTokens, double tokens);

} // namespace quetzalyoke

#endif
