#ifndef QUETZALYOKE_APPS_ENTRY_ENTRYGATEWAY_H
#define QUETZALYOKE_APPS_ENTRY_ENTRYGATEWAY_H

#include "Adapters/Async/CallerServer.h"
#include "Apps/Entry/OrderSender.h"
#include "Apps/Entry/PeerNetwork.h"

#include <boost/asio/signal_set.hpp>

namespace quetzalyoke {

/// \brief An entry gateway that calls backend servers itself: wiring, timers and signals.
class EntryGateway
{
public:
    EntryGateway(const EntrySettings &settings, asio::io_context &loop,
                 const ServingDialect &dialect, EntryPlatform &platform);

    /// Serves until a stop is requested and done.
    void run();

private:
    void startPlatform();
    void onConfig(const ServingConfigPtr &config);
    void onServer(const ListedServer &server);
    void onServerGone(const ServerName &id);
    void onReach(bool isReachable, const std::string &reason);
    void answerReadiness(const CallerSession::Pointer &session, const CallerRequest &request);
    void answerPeer(const CallerSession::Pointer &session, const CallerRequest &request);
    SessionLimits callerLimits() const;
    bool isReady() const;
    void awaitSignal();
    void tick();
    void watchClocks();
    void beginStop();
    void checkStopped();

    asio::io_context &m_loop;
    EntryState m_state;
    OrderSender m_orders;
    PeerNetwork m_peers;
    StateExchange m_exchange;
    CallerServer m_callers;
    CallerServer m_readiness;
    CallerServer m_peerServer;
    asio::signal_set m_signals;
    asio::steady_timer m_tick;
    asio::steady_timer m_stopTimer;
    Instant m_stopBegun;
    Instant m_steadySeen;
    Duration m_suspended{0}; // of the boot clock ahead of the steady one
    Instant m_housekeptAt;
    std::optional<bool> m_isReachable; // the store; nothing: not known yet
};

} // namespace quetzalyoke

#endif
