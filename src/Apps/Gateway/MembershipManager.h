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

/// \brief Maintains this gateway's membership: writes its heartbeats, exchanges state with its
/// peers and rebalances the shares of accounts.
/// \sa ClusterView, SharePlanner
class MembershipManager : public ChangeGate
{
public:
    MembershipManager(const GatewaySettings &settings, TableStore &table, GatewayState &state,
                      StatePoller &statePoller, AccountLimiter &limiter, PeerExchange &peers);
    ~MembershipManager() override;

    /// Joins the cluster under these addresses, each host:port, and starts the threads.
    void start(const std::string &thriftAddress, const std::string &httpAddress);
    /// Stops accepting changes. To be called first when stopping.
    void beginLeaving();
    /// Ends the threads and announces to the table and the peers that this gateway no longer
    /// serves.
    void leave();

    void requireMayAccept() override;
    void waitUntilInForce(Version version) override;

private:
    /// Starts a thread that runs \a work every \a interval until leave().
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
    std::mt19937_64 m_random; // used by exchangeWithPeers()'s thread only
    std::mutex m_mutex; // protects m_stopping
    std::condition_variable m_stopped;
    bool m_stopping = false;
    std::vector<std::thread> m_threads;
};

} // namespace quetzalyoke

#endif
