#include "Apps/Entry/EntryGateway.h"

#include "Adapters/Async/HandlerGuard.h"
#include "Adapters/Metrics.h"
#include "Adapters/Process.h"
#include "Adapters/StructuredLog.h"
#include "Apps/Entry/RequestHandler.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <csignal>

namespace quetzalyoke {

namespace {

// Between checks of the lease, orders and waiting requests.
constexpr std::chrono::milliseconds tickInterval{50};

// Between removals of idle connections, expired entries and old suspicions.
constexpr Duration housekeepingInterval = std::chrono::milliseconds(500);

// Until the list of servers has been read again after a stall.
constexpr Duration listRefreshTime = std::chrono::seconds(1);

constexpr std::size_t maxReadinessConnections = 32;
constexpr std::size_t maxPeerConnections = 64;

// Share of the machine's memory that is counted for peers and readiness checks.
constexpr double internalMemoryShare = 0.25;

// Requests of peers have short bodies, if any; those of readiness checks have none.
constexpr std::uint64_t maxPeerBodyBytes = 65'536;
constexpr std::uint64_t maxReadinessBodyBytes = 1024;

HttpServerConnectionLimits limitsWithBody(std::uint64_t bodyBytes)
{
    HttpServerConnectionLimits limits;
    limits.bodyBytes = bodyBytes;
    return limits;
}

std::shared_ptr<ReceiveBudget> budgetFor(double memoryMb)
{
    return std::make_shared<ReceiveBudget>(ReceiveBudget::limitsFor(memoryMb));
}

// Log lines of these are limited in rate by the log itself.
void reportEviction(const char *reason, std::size_t bytes)
{
    logNotable("evicted", {{"reason", reason}, {"bytes", bytes}});
    Metrics::incrementCounter("evicted", {{"reason", reason}});
}

} // namespace

EntryGateway::EntryGateway(const EntrySettings &settings, asio::io_context &loop,
                           const ServingProtocol &protocol, EntryPlatform &platform)
    : m_loop(loop), m_callerBudget(budgetFor(settings.memoryMb)),
      m_internalBudget(budgetFor(settings.memoryMb * internalMemoryShare)),
      m_requestSlots(
          std::make_shared<ResourceCharge::Total>(ResourceCharge::Total{0, settings.maxRequests})),
      m_state(settings, loop, protocol, platform),
      m_orderSender(
          m_state,
          [this](const std::vector<LoadedModelChange> &notices) {
              m_peers.announceLoadedModelChanges(notices);
          },
          [this] { return m_peers.statePeers(); }),
      m_peers(m_state,
              {[this] { return m_orderSender.heldLease(); },
               [this](const LeaseRow &row) { m_orderSender.onHolderRenewal(row); },
               [this] { return m_orderSender.issuesPermits(); },
               [this] { return m_stateExchange.replicator().followsStore(); },
               [this](std::size_t rank, Duration messageInterval) {
                   m_orderSender.setTakeoverRank(rank, messageInterval);
               }}),
      m_stateExchange(m_state, [this] { return m_peers.statePeers(); }), m_crashRecords(m_state),
      m_streamVersions(m_state),
      m_callers(
          loop, settings.maxCallerConnections,
          {[this](const HttpServerConnection::Pointer &connection, HttpRequest &&request) {
               std::make_shared<RequestHandler>(m_state, connection, std::move(request))->start();
           },
           [this] { return callerLimits(); }, [this] { return m_state.isStopping; },
           [](int status, const char *reason) {
               logNotable("rejected", {{"status", status}, {"reason", reason}});
               Metrics::incrementCounter("rejected", {{"status", std::to_string(status)}});
           },
           m_callerBudget, reportEviction, m_requestSlots}),
      m_readiness(loop, maxReadinessConnections,
                  {[this](const HttpServerConnection::Pointer &connection, HttpRequest &&request) {
                       handleReadinessRequest(connection, request);
                   },
                   [] { return limitsWithBody(maxReadinessBodyBytes); }, [] { return false; },
                   [](int, const char *) {}, m_internalBudget, reportEviction}),
      m_peerServer(loop, maxPeerConnections,
                   {[this](const HttpServerConnection::Pointer &connection, HttpRequest &&request) {
                        handlePeerRequest(connection, request);
                    },
                    [] { return limitsWithBody(maxPeerBodyBytes); }, [] { return false; },
                    [](int, const char *) {}, m_internalBudget, reportEviction}),
      m_signals(loop, SIGTERM, SIGINT, SIGHUP), m_tickTimer(loop), m_stopTimer(loop)
{
    m_state.pool.setRequestSlots(m_requestSlots);
}

void EntryGateway::run()
{
    logNotable("started",
               {{"version", Process::version()},
                {"incarnation", Process::incarnation()},
                {"callers", m_state.settings.callerListen.text()},
                {"zone", m_state.settings.zone}});
    m_state.onRequestWaiting = [this] {
        m_peers.announceNeeds();
        m_orderSender.scheduleStep();
    };
    m_state.mayTryCrashingRequests = [this] { return m_orderSender.fencingToken() > 0; };
    m_state.onServerSignal = [this] {
        m_orderSender.onServersChanged();
        m_peers.announceServerSignals();
        // Posted, because the signal may come from within a callback of an exchange.
        asio::post(m_loop, [this] { m_state.waitQueue.retryDispatches(); });
    };
    m_lastClockCheck = steadyNow();
    m_totalSuspended = bootTimeNow() - Instant(m_lastClockCheck.time_since_epoch());
    m_readiness.listen(m_state.settings.readinessListen);
    m_peerServer.listen(m_state.settings.peerListen);
    m_callers.listen(m_state.settings.callerListen);
    startPlatform();
    m_peers.start();
    awaitSignal();
    tick();
    runGuarded(m_loop);
    logNotable("stopped", {});
    StructuredLog::stop();
}

void EntryGateway::startPlatform()
{
    EntryPlatform::Hooks hooks;
    hooks.onConfigChanged = [this](const ServingConfigPtr &config) { onConfig(config); };
    hooks.onServerChanged = [this](const ListedServer &server) { onServer(server); };
    hooks.onServerRemoved = [this](const ServerName &id) { onServerRemoved(id); };
    hooks.onEvacuationChanged = [this](const ZoneName &zone, EvacuationChange change) {
        onEvacuationChanged(zone, change);
    };
    hooks.onBatchApplied = [this] {
        if (m_state.platform.isLoaded())
            m_state.servers.recordListRead();
        m_streamVersions.onListChanged();
        m_orderSender.onServersChanged();
        m_stateExchange.replicator().onStateChanged();
        m_state.waitQueue.retryDispatches();
    };
    hooks.onReachabilityChanged = [this](bool isReachable, const std::string &reason) {
        onReachabilityChanged(isReachable, reason);
    };
    // The grace period of entries begins when the outage ends, so each call counts.
    hooks.onCallFailed = [this] { m_state.servers.recordListOutage(steadyNow()); };
    hooks.onStoreRestored = [this](StoreEra era) { onStoreRestored(era); };
    hooks.onInvalidEntry = [](const std::string &key, const std::string &problem) {
        logNotable("bad_entry", {{"key", key}, {"reason", problem}});
        Metrics::incrementCounter("bad_entries");
    };
    m_state.platform.start(std::move(hooks));
}

void EntryGateway::onConfig(const ServingConfigPtr &config)
{
    logNotable("config",
               {{"version", config->version},
                {"before", m_state.config ? m_state.config->version : Version()},
                {"accounts", config->accounts.size()},
                {"services", config->services.size()}});
    m_state.config = config;
    m_state.replicaController.setConfig(config);
    m_state.quotas.setConfig(*config, steadyNow());
    std::map<ServiceName, ServerDirectory::ColdRule> coldRules;
    for (const auto &[name, service] : config->services)
        coldRules[name] = {RequestRate(service.coldRequestsPerSecond), service.coldStartTime};
    m_state.servers.setColdRules(std::move(coldRules));
}

// Requests and orders are stopped by the directory's state; those that wait are tried again when
// the batch of rows has been applied.
void EntryGateway::onEvacuationChanged(const ZoneName &zone, EvacuationChange change)
{
    const bool isChanged = m_state.servers.applyEvacuation(zone, change, steadyNow());
    if (isChanged || change == EvacuationChange::Lost)
        logEvacuation(zone, change == EvacuationChange::Lost ? "lost_row" : "row");
}

void EntryGateway::logEvacuation(const ZoneName &zone, const char *source)
{
    const auto &servers = m_state.servers.servers();
    const auto inZone = std::count_if(servers.begin(), servers.end(), [&zone](const auto &entry) {
        return entry.second.listed.zone == zone;
    });
    const bool isEvacuated = m_state.servers.evacuatedZones().contains(zone);
    // Without servers the zone may be misspelt, or this gateway has not read the list yet.
    logNotable("evacuation",
               {{"zone", zone},
                {"state", isEvacuated ? "evacuated" : "revoked"},
                {"servers", inZone},
                {"known", inZone > 0 ? 1 : 0},
                {"source", source}});
    Metrics::setGauge("evacuated_zones",
                      static_cast<double>(m_state.servers.evacuatedZones().size()));
}

void EntryGateway::onServer(const ListedServer &server)
{
    const Instant now = steadyNow();
    const ServerState *known = m_state.servers.find(server.id);
    const bool isSameIncarnation = known && known->listed.incarnation == server.incarnation;
    if (known && !isSameIncarnation) {
        m_state.crashDetector.recordServerLoss(server.id, known->listed.incarnation, now);
        m_state.chooser.clearPrefixCache(server.id);
        m_state.pool.closeIdleConnections(known->listed.address);
    }
    if (!isSameIncarnation || known->listed.isLeaving != server.isLeaving) {
        logNotable("server",
                   {{"server", server.id},
                    {"service", server.service},
                    {"address", server.address},
                    {"incarnation", server.incarnation},
                    {"software", server.softwareVersion},
                    {"state", server.isLeaving ? "leaving" : "ready"},
                    {"models", server.loadedModels.size()}});
    }
    m_state.servers.put(server, now);
    m_state.coldServers.onEntryApplied(server.id);
}

void EntryGateway::onServerRemoved(const ServerName &id)
{
    const ServerState *known = m_state.servers.find(id);
    if (!known)
        return;
    const ListedServer server = known->listed;
    logNotable("server_gone",
               {{"server", id},
                {"incarnation", server.incarnation},
                {"was_leaving", server.isLeaving ? 1 : 0}});
    m_state.servers.remove(id, steadyNow());
    if (m_state.servers.find(id))
        return; // its entry is missing because of an outage
    onServerEnded(server);
}

// Called when the list shows that a server is gone.
void EntryGateway::onServerEnded(const ListedServer &server)
{
    m_state.chooser.clearPrefixCache(server.id);
    if (!server.isLeaving)
        m_state.crashDetector.recordServerLoss(server.id, server.incarnation, steadyNow());
}

void EntryGateway::onReachabilityChanged(bool isReachable, const std::string &reason)
{
    if (isReachable == m_isReachable)
        return;
    m_isReachable = isReachable;
    logNotable(isReachable ? "store_regained" : "store_lost", {{"reason", reason}});
    Metrics::incrementCounter("store_changes", {{"to", isReachable ? "reachable" : "lost"}});
}

// Servers that are missing from the copy write their entries again.
void EntryGateway::onStoreRestored(StoreEra era)
{
    logNotable("store_restored", {{"era", era}});
    Metrics::incrementCounter("store_restores");
    m_state.servers.recordListOutage(steadyNow());
    m_peers.onStoreRestored();
    m_crashRecords.onStoreRestored();
    m_streamVersions.onStoreRestored();
}

HttpServerConnectionLimits EntryGateway::callerLimits() const
{
    HttpServerConnectionLimits limits;
    if (!m_state.config)
        return limits;
    const CallerLimits &configured = m_state.config->limits;
    limits.headerBytes = configured.headerBytes;
    limits.bodyBytes = configured.bodyBytes;
    limits.headerTimeout = configured.headerTimeout;
    limits.idleTimeout = configured.idleTimeout;
    return limits;
}

bool EntryGateway::isReady() const
{
    return m_state.config && m_state.platform.isLoaded() && !m_state.isStopping;
}

void EntryGateway::handleReadinessRequest(const HttpServerConnection::Pointer &connection,
                                          const HttpRequest &request)
{
    if (request.target != m_state.protocol.readinessPath()) {
        connection->sendResponse(404, "", "no such path");
        return;
    }
    connection->sendResponse(isReady() ? 200 : 503, "", isReady() ? "ready" : "not ready");
}

void EntryGateway::handlePeerRequest(const HttpServerConnection::Pointer &connection,
                                     const HttpRequest &request)
{
    if (request.target.starts_with("/state")) {
        m_stateExchange.handleRequest(connection, request.target);
        return;
    }
    if (request.target == LeaseStoreClient::path) {
        m_orderSender.handleLeaseRequest(connection, request);
        return;
    }
    if (request.target == "/metrics") {
        Metrics::setGauge("servers", static_cast<double>(m_state.servers.servers().size()));
        Metrics::setGauge("waiting", static_cast<double>(m_state.waitQueue.size()));
        Metrics::setGauge("sessions", static_cast<double>(m_callers.connectionCount()));
        Metrics::setGauge("idle_connections", static_cast<double>(m_state.pool.idleCount()));
        Metrics::setGauge("lease_fencing", static_cast<double>(m_orderSender.fencingToken()));
        Metrics::setGauge("connection_bytes",
                          static_cast<double>(m_callerBudget->connectionBytes()));
        Metrics::setGauge("request_bytes", static_cast<double>(m_callerBudget->requestBytes()));
        connection->sendResponse(200, "Content-Type: text/plain; version=0.0.4\r\n",
                                 Metrics::text());
        return;
    }
    connection->sendResponse(404, "", "no such path");
}

void EntryGateway::awaitSignal()
{
    m_signals.async_wait([this](const SystemErrorCode &ec, int signal) {
        if (ec)
            return;
        if (signal == SIGHUP)
            logNotable("reload", {{"result", "settings are read at start only"}});
        else if (!m_state.isStopping)
            beginStop();
        awaitSignal();
    });
}

void EntryGateway::tick()
{
    // Each part is guarded by itself, so that one that fails at each tick doesn't stop the others.
    callGuarded("stall", [this] { detectStall(); });
    callGuarded("orders", [this] { m_orderSender.tick(); });
    callGuarded("state", [this] { m_stateExchange.replicator().tick(); });
    callGuarded("list_confirmation", [this] { m_state.listConfirmation.tick(); });
    callGuarded("permits", [this] { m_peers.repeatPermitRequests(); });
    callGuarded("crash_records", [this] { m_crashRecords.tick(m_orderSender.fencingToken() > 0); });
    callGuarded("stream_versions",
                [this] { m_streamVersions.tick(m_orderSender.fencingToken() > 0); });
    callGuarded("dispatch", [this] { m_state.waitQueue.retryDispatches(); });
    callGuarded("housekeeping", [this] { doHousekeeping(steadyNow()); });
    m_tickTimer.expires_after(tickInterval);
    m_tickTimer.async_wait([this](const SystemErrorCode &ec) {
        if (!ec)
            tick();
    });
}

void EntryGateway::doHousekeeping(Instant now)
{
    if (now - m_lastHousekeepingAt < housekeepingInterval)
        return;
    m_lastHousekeepingAt = now;
    m_state.pool.closeExpiredConnections(now);
    m_state.crashDetector.expire(now);
    m_state.permitIssuer.removeUnused(now);
    m_state.replicaController.removeExpiredRecords(now);
    m_state.coldServers.tick();
    const std::vector<ZoneName> zones = m_state.servers.removeExpiredEvacuations(now);
    for (const ZoneName &zone : zones)
        logEvacuation(zone, "not_written_again");
    if (!zones.empty())
        m_orderSender.onServersChanged();
    for (const ListedServer &server : m_state.servers.removeExpired(now)) {
        logNotable("server_gone",
                   {{"server", server.id},
                    {"incarnation", server.incarnation},
                    {"reason", "expired while the store was unreachable"}});
        onServerEnded(server);
    }
}

// After a stall, everything that this gateway knows is older than its timestamps suggest.
void EntryGateway::detectStall()
{
    const Instant now = steadyNow();
    const Duration late = now - m_lastClockCheck;
    const Duration totalSuspended = bootTimeNow() - Instant(now.time_since_epoch());
    const Duration newlySuspended = totalSuspended - m_totalSuspended;
    m_lastClockCheck = now;
    m_state.lastTickAt = now;
    m_totalSuspended = totalSuspended;
    if (late < stallThreshold && newlySuspended < stallThreshold)
        return;
    logNotable("resumed", {{"late_ms", late}, {"suspended_ms", newlySuspended}});
    Metrics::incrementCounter("standstills");
    m_state.pool.closeAllIdleConnections();
    m_state.quotas.markPeersSilent(now);
    m_state.listUncertainUntil = now + listRefreshTime;
    m_state.servers.dropGrantedPermits();
    m_peers.onResumed();
    m_state.platform.refresh();
    m_stateExchange.replicator().onResumed();
    m_state.awaitList(now + listRefreshTime);
}

void EntryGateway::beginStop()
{
    logNotable("stopping",
               {{"handling", m_callers.activeRequestCount()},
                {"connections", m_callers.connectionCount()}});
    m_state.stop.begin(steadyNow(), m_state.settings.shutdownTimeout);
    m_orderSender.resign();
    m_peers.announceLeaving();
    checkStopped();
}

void EntryGateway::checkStopped()
{
    const Instant now = steadyNow();
    const PlannedStop &stop = m_state.stop;
    const bool isOutOfRotation = stop.isOutOfRotation(now);
    if (isOutOfRotation) {
        // The only instance of a zone receives connections as long as it accepts them, even if it
        // is not ready.
        m_callers.stopListening();
        m_callers.closeIdleConnections();
    }
    if (now >= stop.runsUntil())
        m_state.runningRequests.endAll();
    if ((isOutOfRotation && m_callers.connectionCount() == 0) || now >= stop.endsAt()) {
        m_state.platform.stop();
        m_loop.stop();
        return;
    }
    m_stopTimer.expires_after(tickInterval);
    m_stopTimer.async_wait([this](const SystemErrorCode &ec) {
        if (!ec)
            checkStopped();
    });
}

} // namespace quetzalyoke
