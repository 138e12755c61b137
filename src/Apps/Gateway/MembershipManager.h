#ifndef QUETZALYOKE_APPS_GATEWAY_MEMBERSHIPMANAGER_H
#define QUETZALYOKE_APPS_GATEWAY_MEMBERSHIPMANAGER_H

#include "Apps/Gateway/AccountLimiter.h"
#include "Apps/Gateway/ChangeGate.h"
#include "Apps/Gateway/PeerExchange.h"
#include "Apps/Gateway/StatePoller.h"
#include "Ports/TableStore.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <random>
#include <thread>
#include <vector>

namespace quetzalyoke {

/// \brief Keeps this gateway a member: heartbeats, calls of other gateways, shares of accounts.
/// \sa ClusterView, SharePlanner
class MembershipManager : public ChangeGate
{
public:
    MembershipManager(const GatewaySettings &settings, TableStore &table, GatewayState &state,
                      StatePoller &sync, AccountLimiter &limiter, PeerExchange &peers);
    ~MembershipManager() override;

    /// Joins the others under these addresses, host:port.
    void start(const std::string &door, const std::string &http);
    /// Accepts no more changes. Call it first of all when stopping.
    void beginLeaving();
    /// Tells the table and the others that this gateway serves no more, and ends the threads.
    void leave();

    void requireMayAccept() override;
    void waitUntilInForce(Version version) override;

private:
    /// Runs \a work every \a interval until leave().
    void runPeriodically(std::chrono::milliseconds interval, std::function<void()> work);
    bool waitForStop(std::chrono::milliseconds time);
    bool mayAccept() const;
    void writeHeartbeat();
    void removeDeadMember();
    void exchangeWithPeers();
    void borrowTokens();
    void rebalanceShares();
    void writeShare(const ShareWrite &write);
    void announceLeaving();

    const GatewaySettings &m_settings;
    TableStore &m_table;
    GatewayState &m_state;
    StatePoller &m_statePoller;
    AccountLimiter &m_limiter;
    PeerExchange &m_peers;
    std::mt19937_64 m_random; // of exchangeWithPeers()'s thread
    std::mutex m_mutex; // of m_stopping
    std::condition_variable m_stopped;
    bool m_stopping = false;
    std::vector<std::thread> m_threads;
};

} // namespace quetzalyoke

#endif
