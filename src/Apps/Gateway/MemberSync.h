#ifndef QUETZALYOKE_APPS_GATEWAY_MEMBERSYNC_H
#define QUETZALYOKE_APPS_GATEWAY_MEMBERSYNC_H

#include "Apps/Gateway/AccountLimiter.h"
#include "Apps/Gateway/ChangeGate.h"
#include "Apps/Gateway/PeerExchange.h"
#include "Apps/Gateway/StateSync.h"
#include "Ports/TableStore.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <random>
#include <thread>
#include <vector>

namespace quetzalyoke {

/// \brief Keeps this gateway a member: heartbeats, calls of other gateways, shares of accounts.
/// \sa GatewaySync, SharePlanner
class MemberSync : public ChangeGate
{
public:
    MemberSync(const GatewaySettings &settings, TableStore &table, SharedState &state,
               StateSync &sync, AccountLimiter &limiter, PeerExchange &peers);
    ~MemberSync() override;

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
    void repeat(std::chrono::milliseconds interval, std::function<void()> work);
    bool wait(std::chrono::milliseconds time);
    bool mayAccept() const;
    void beat();
    void removeOne();
    void callOthers();
    void borrow();
    void divide();
    void write(const ShareWrite &write);
    void farewell();

    const GatewaySettings &m_settings;
    TableStore &m_table;
    SharedState &m_state;
    StateSync &m_sync;
    AccountLimiter &m_limiter;
    PeerExchange &m_peers;
    std::mt19937_64 m_random; // of callOthers()'s thread
    std::mutex m_mutex; // of m_stopping
    std::condition_variable m_stopped;
    bool m_stopping = false;
    std::vector<std::thread> m_threads;
};

} // namespace quetzalyoke

#endif
