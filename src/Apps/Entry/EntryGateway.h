#ifndef QUETZALYOKE_APPS_ENTRY_ENTRYGATEWAY_H
#define QUETZALYOKE_APPS_ENTRY_ENTRYGATEWAY_H

#include "Adapters/Async/AsyncHttpServer.h"
#include "Apps/Entry/CrashRecordKeeper.h"
#include "Apps/Entry/OrderSender.h"
#include "Apps/Entry/PeerNetwork.h"
#include "Apps/Entry/StateExchange.h"
#include "Apps/Entry/StreamVersionKeeper.h"

#include <boost/asio/signal_set.hpp>

namespace quetzalyoke {

/// \brief An entry gateway: connects its components and handles timers and signals.
class EntryGateway
{
public:
    EntryGateway(const EntrySettings &settings, asio::io_context &loop,
                 const ServingProtocol &protocol, EntryPlatform &platform);

    /// Serves callers until a signal requests a stop and the shutdown is complete.
    void run();

private:
    void startPlatform();
    void onConfig(const ServingConfigPtr &config);
    void onEvacuationChanged(const ZoneName &zone, EvacuationChange change);
    void logEvacuation(const ZoneName &zone, const char *source);
    void onServer(const ListedServer &server);
    void onServerRemoved(const ServerName &id);
    void onServerEnded(const ListedServer &server);
    void onStoreRestored(StoreEra era);
    void onReachabilityChanged(bool isReachable, const std::string &reason);
    void handleReadinessRequest(const HttpServerConnection::Pointer &connection,
                                const HttpRequest &request);
    void handlePeerRequest(const HttpServerConnection::Pointer &connection,
                           const HttpRequest &request);
    HttpServerConnectionLimits callerLimits() const;
    bool isReady() const;
    void awaitSignal();
    void tick();
    void doHousekeeping(Instant now);
    void detectStall();
    void beginStop();
    void checkStopped();

    asio::io_context &m_loop;
    std::shared_ptr<ReceiveBudget> m_callerBudget;
    std::shared_ptr<ReceiveBudget> m_internalBudget; // so that callers can't keep out peers
    std::shared_ptr<ResourceCharge::Total> m_requestSlots;
    EntryState m_state;
    OrderSender m_orderSender;
    PeerNetwork m_peers;
    StateExchange m_stateExchange;
    CrashRecordKeeper m_crashRecords;
    StreamVersionKeeper m_streamVersions;
    AsyncHttpServer m_callers;
    AsyncHttpServer m_readiness;
    AsyncHttpServer m_peerServer;
    asio::signal_set m_signals;
    asio::steady_timer m_tickTimer;
    asio::steady_timer m_stopTimer;
    Instant m_lastClockCheck;
    Duration m_totalSuspended{0}; // lead of the boot clock over the steady clock
    Instant m_lastHousekeepingAt;
    std::optional<bool> m_isReachable; // whether the store is reachable; empty: unknown
};

} // namespace quetzalyoke

#endif
