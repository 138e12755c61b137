#ifndef QUETZALYOKE_APPS_GATEWAY_PEEREXCHANGE_H
#define QUETZALYOKE_APPS_GATEWAY_PEEREXCHANGE_H

#include "Adapters/ThriftClientPool.h"
#include "Apps/Gateway/AccountLimiter.h"
#include "Apps/Gateway/GatewaySettings.h"
#include "Apps/Gateway/GatewayState.h"
#include "Apps/Gateway/SharedCrashingRequestTracker.h"
#include "Wire/generated/Gateway.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>

namespace quetzalyoke {

/// \brief Calls of this gateway to the others, and its answers to theirs.
class PeerExchange
{
public:
    PeerExchange(const GatewaySettings &settings, GatewayState &state, AccountLimiter &limiter,
                 SharedCrashingRequestTracker &crashes);

    /// What this gateway tells others about itself.
    PeerStatus status() const;
    /// From now on others are told that this gateway serves no more.
    void setLeaving() { m_leaving = true; }
    bool isLeaving() const { return m_leaving; }
    /// Names what to do when another gateway knows newer state than this one.
    void setNewerStateHook(std::function<void()> hook) { m_onNewerState = std::move(hook); }

    /// Exchanges what both know with the gateway at \a address; false where it doesn't answer.
    bool exchangeWith(const std::string &address);
    void exchangeWithAll();
    /// Borrows what requests wait for.
    void borrow(const AccountLimiter::NeededLoan &loan);
    /// Text of the service list at \a version from a gateway that has it.
    std::optional<std::string> configurationText(Version version);

    /// Another gateway's call of exchange().
    PeerStatus handleExchange(const PeerStatus &caller);
    /// Another gateway's call for tokens.
    Tokens lend(const AccountId &account, Tokens n);

    /// Names this gateway's own door, host:port, once it listens.
    void setOwnThriftAddress(const std::string &address);
    /// Doors of all gateways that this one knows, itself among them.
    std::vector<std::string> knownThriftAddresses() const;
    /// Door addresses of the other gateways, with the settings' peers while none is known.
    std::vector<std::string> peerThriftAddresses() const;

private:
    using Pool = ThriftClientPool<wire::GatewayClient>;

    std::shared_ptr<Pool> poolFor(const std::string &address);
    /// Runs \a call at \a address; false where that failed.
    void recordReachability(const std::string &address, bool answered);
    bool callPeer(const std::string &address,
                  const std::function<void(wire::GatewayClient &)> &call);
    std::string addressOf(const InstanceId &instance) const;

    const GatewaySettings &m_settings;
    GatewayState &m_state;
    AccountLimiter &m_limiter;
    SharedCrashingRequestTracker &m_crashes;
    std::atomic<bool> m_leaving{false};
    std::function<void()> m_onNewerState;
    // Of the members below; no other lock but the time line's is taken while it is held.
    mutable std::mutex m_mutex;
    std::string m_ownThriftAddress; // empty until it listens
    std::map<std::string, std::shared_ptr<Pool>> m_pools;
    std::map<InstanceId, std::string> m_addressByInstance; // address of each that has answered
    std::set<std::string> m_unreachableAddresses; // addresses whose last call failed
};

} // namespace quetzalyoke

#endif
