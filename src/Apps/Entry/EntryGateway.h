#ifndef QUETZALYOKE_APPS_ENTRY_ENTRYGATEWAY_H
#define QUETZALYOKE_APPS_ENTRY_ENTRYGATEWAY_H

#include "Adapters/Async/AsyncHttpServer.h"
#include "Apps/Entry/OrderSender.h"
#include "Apps/Entry/PeerNetwork.h"

#include <boost/asio/signal_set.hpp>

namespace quetzalyoke {

/// \brief An entry gateway that calls backend servers itself: wiring, timers and signals.
class EntryGateway
{
public:
    EntryGateway(const EntrySettings &settings, asio::io_context &loop,
                 const ServingProtocol &dialect, EntryPlatform &platform);

    /// Serves until a stop is requested and done.
    void run();

private:
    void startPlatform();
    void onConfig(const ServingConfigPtr &config);
    void onServer(const ListedServer &server);
    void onServerGone(const ServerName &id);
    void onReachabilityChanged(bool isReachable, const std::string &reason);
    void handleReadinessRequest(const HttpServerConnection::Pointer &session,
                                const HttpRequest &request);
    void handlePeerRequest(const HttpServerConnection::Pointer &session,
                           const HttpRequest &request);
    HttpServerConnectionLimits callerLimits() const;
    bool isReady() const;
    void awaitSignal();
    void tick();
    void detectStall();
    void beginStop();
    void checkStopped();

    asio::io_context &m_loop;
    EntryState m_state;
    OrderSender m_orderSender;
    PeerNetwork m_peers;
    StateReplicator m_stateReplicator;
    AsyncHttpServer m_callers;
    AsyncHttpServer m_readiness;
    AsyncHttpServer m_peerServer;
    asio::signal_set m_signals;
    asio::steady_timer m_tick;
    asio::steady_timer m_stopTimer;
    Instant m_stopBegun;
    Instant m_lastClockCheck;
    Duration m_suspended{0}; // of the boot clock ahead of the steady one
    Instant m_lastHousekeepingAt;
    std::optional<bool> m_isReachable; // the store; nothing: not known yet
};

} // namespace quetzalyoke

#endif
