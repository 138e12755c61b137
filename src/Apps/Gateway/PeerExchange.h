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

/// \brief Sends this gateway's calls to its peers and handles their calls.
class PeerExchange
{
public:
    PeerExchange(const GatewaySettings &settings, GatewayState &state, AccountLimiter &limiter,
                 SharedCrashingRequestTracker &crashes);

    /// Returns the status that this gateway sends to its peers.
    PeerStatus status() const;
    /// Reports this gateway as leaving from now on.
    void setLeaving() { m_leaving = true; }
    bool isLeaving() const { return m_leaving; }
    /// Sets the function that is called when a peer knows newer state than this gateway.
    void setNewerStateHook(std::function<void()> hook) { m_onNewerState = std::move(hook); }

    /// Exchanges state with the gateway at \a address; returns false if the call fails.
    bool exchangeWith(const std::string &address);
    void exchangeWithAll();
    /// Borrows the tokens of \a loan from its lenders.
    void borrow(const AccountLimiter::NeededLoan &loan);
    /// Returns the text of the service list at \a version from a peer that has it.
    std::optional<std::string> configurationText(Version version);

    /// Handles a peer's call of exchange(); returns this gateway's status.
    PeerStatus handleExchange(const PeerStatus &caller);
    /// Handles a peer's call for \a n tokens; returns how many are lent.
    Tokens lend(const AccountId &account, Tokens n);

    /// Sets this gateway's own Thrift address, host:port, once it listens.
    void setOwnThriftAddress(const std::string &address);
    /// Returns the Thrift addresses of all known gateways, including this one unless it is leaving.
    std::vector<std::string> knownThriftAddresses() const;
    /// Returns the Thrift addresses of the other gateways; those from the settings while none is
    /// known.
    std::vector<std::string> peerThriftAddresses() const;

private:
    using Pool = ThriftClientPool<wire::GatewayClient>;

    std::shared_ptr<Pool> poolFor(const std::string &address);
    void recordReachability(const std::string &address, bool succeeded);
    /// Runs \a call at \a address; returns false if that fails.
    bool callPeer(const std::string &address,
                  const std::function<void(wire::GatewayClient &)> &call);
    std::string addressOf(const InstanceId &instance) const;

    const GatewaySettings &m_settings;
    GatewayState &m_state;
    AccountLimiter &m_limiter;
    SharedCrashingRequestTracker &m_crashes;
    std::atomic<bool> m_leaving{false};
    std::function<void()> m_onNewerState;
    // Protects the members below; only the timeline's lock may be taken while it is held.
    mutable std::mutex m_mutex;
    std::string m_ownThriftAddress; // empty until it listens
    std::map<std::string, std::shared_ptr<Pool>> m_pools;
    std::map<InstanceId, std::string>
        m_addressByInstance; // address of each gateway that has responded
    std::set<std::string> m_unreachableAddresses; // addresses whose last call failed
};

} // namespace quetzalyoke

#endif
