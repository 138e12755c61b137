#include "Apps/Entry/EntryGateway.h"

#include "Adapters/Metrics.h"
#include "Adapters/Process.h"
#include "Adapters/StructuredLog.h"
#include "Apps/Entry/RequestHandler.h"

#include <boost/asio/post.hpp>

#include <csignal>

namespace quetzalyoke {

namespace {

// Leases, orders and waiting requests are looked at this often.
constexpr std::chrono::milliseconds tickInterval{50};

// Idle connections, lapsed entries and old suspicions.
constexpr Duration housekeepingInterval = std::chrono::milliseconds(500);

// A loop that is late by this much has stood still, not just been busy.
constexpr Duration standstill = std::chrono::milliseconds(700);

// The platform takes an instance out of rotation after two misses, a second apart, and may have
// connections on their way.
constexpr Duration rotationTime = std::chrono::milliseconds(2800);

// Left of the grace for answers' last bytes.
constexpr Duration stopMargin = std::chrono::milliseconds(400);

constexpr std::size_t readinessConnections = 32;
constexpr std::size_t peerConnections = 64;

} // namespace

EntryGateway::EntryGateway(const EntrySettings &settings, asio::io_context &loop,
                           const ServingProtocol &dialect, EntryPlatform &platform)
    : m_loop(loop), m_state(settings, loop, dialect, platform),
      m_orderSender(
          m_state,
          [this](const std::vector<LoadedModelChange> &notices) {
              m_peers.announceLoadedModelChanges(notices);
          },
          [this] { return m_peers.statePeers(); }),
      m_peers(m_state,
              {[this] { return m_orderSender.heldLease(); },
               [this](const LeaseRow &row) { m_orderSender.onHolderRenewal(row); },
               [this] { return m_stateReplicator.followsStore(); },
               [this](std::size_t rank, Duration newsInterval) {
                   m_orderSender.setTakeoverRank(rank, newsInterval);
               }}),
      m_stateReplicator(m_state, [this] { return m_peers.statePeers(); }),
      m_callers(
          loop, settings.maxCallerConnections,
          {[this](const HttpServerConnection::Pointer &session, HttpRequest &&request) {
               std::make_shared<RequestHandler>(m_state, session, std::move(request))->start();
           },
           [this] { return callerLimits(); }, [this] { return m_state.isStopping; },
           [](int status, const char *reason) {
               logNotable("rejected", {{"status", status}, {"reason", reason}});
               Metrics::incrementCounter("rejected", {{"status", std::to_string(status)}});
           }}),
      m_readiness(loop, readinessConnections,
                  {[this](const HttpServerConnection::Pointer &session, HttpRequest &&request) {
                       handleReadinessRequest(session, request);
                   },
                   [] { return HttpServerConnectionLimits(); }, [] { return false; },
                   [](int, const char *) {}}),
      m_peerServer(loop, peerConnections,
                   {[this](const HttpServerConnection::Pointer &session, HttpRequest &&request) {
                        handlePeerRequest(session, request);
                    },
                    [] { return HttpServerConnectionLimits(); }, [] { return false; },
                    [](int, const char *) {}}),
      m_signals(loop, SIGTERM, SIGINT, SIGHUP), m_tick(loop), m_stopTimer(loop)
{ }

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
    m_state.onServerSignal = [this] {
        m_orderSender.onServersChanged();
        m_peers.announceLeavingServers();
        // Posted, since the signal may come from within an exchange that is being answered.
        asio::post(m_loop, [this] { m_state.waitQueue.retryDispatches(); });
    };
    m_lastClockCheck = steadyNow();
    m_suspended = bootTimeNow() - Instant(m_lastClockCheck.time_since_epoch());
    m_readiness.listen(m_state.settings.readinessListen);
    m_peerServer.listen(m_state.settings.peerListen);
    m_callers.listen(m_state.settings.callerListen);
    startPlatform();
    m_peers.start();
    awaitSignal();
    tick();
    m_loop.run();
    logNotable("stopped", {});
    StructuredLog::stop();
}

void EntryGateway::startPlatform()
{
    EntryPlatform::Hooks hooks;
    hooks.onConfigChanged = [this](const ServingConfigPtr &config) { onConfig(config); };
    hooks.onServerChanged = [this](const ListedServer &server) { onServer(server); };
    hooks.onServerRemoved = [this](const ServerName &id) { onServerGone(id); };
    hooks.onBatchApplied = [this] {
        m_orderSender.onServersChanged();
        m_stateReplicator.onStateChanged();
        m_state.waitQueue.retryDispatches();
    };
    hooks.onReachabilityChanged = [this](bool isReachable, const std::string &reason) {
        onReachabilityChanged(isReachable, reason);
    };
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
}

void EntryGateway::onServer(const ListedServer &server)
{
    const Instant now = steadyNow();
    const ServerState *known = m_state.servers.find(server.id);
    const bool isSameLife = known && known->listed.incarnation == server.incarnation;
    if (known && !isSameLife) {
        m_state.crashDetector.recordServerLoss(server.id, known->listed.incarnation, now);
        m_state.chooser.clearPrefixCache(server.id);
        m_state.pool.closeIdleConnections(known->listed.address);
    }
    if (!isSameLife || known->listed.isLeaving != server.isLeaving) {
        logNotable("server",
                   {{"server", server.id},
                    {"service", server.service},
                    {"address", server.address},
                    {"incarnation", server.incarnation},
                    {"state", server.isLeaving ? "leaving" : "ready"},
                    {"models", server.loadedModels.size()}});
    }
    m_state.servers.put(server, now);
}

void EntryGateway::onServerGone(const ServerName &id)
{
    const ServerState *known = m_state.servers.find(id);
    if (!known)
        return;
    const Incarnation incarnation = known->listed.incarnation;
    const bool wasLeaving = known->listed.isLeaving;
    const Instant now = steadyNow();
    logNotable("server_gone",
               {{"server", id}, {"incarnation", incarnation}, {"was_leaving", wasLeaving ? 1 : 0}});
    if (!wasLeaving)
        m_state.crashDetector.recordServerLoss(id, incarnation, now);
    m_state.servers.remove(id, now);
    if (!m_state.servers.find(id))
        m_state.chooser.clearPrefixCache(id);
}

void EntryGateway::onReachabilityChanged(bool isReachable, const std::string &reason)
{
    if (!isReachable)
        m_state.servers.recordListOutage(steadyNow());
    if (isReachable == m_isReachable)
        return;
    m_isReachable = isReachable;
    logNotable(isReachable ? "store_regained" : "store_lost", {{"reason", reason}});
    Metrics::incrementCounter("store_changes", {{"to", isReachable ? "reachable" : "lost"}});
}

HttpServerConnectionLimits EntryGateway::callerLimits() const
{
    HttpServerConnectionLimits limits;
    if (!m_state.config)
        return limits;
    const CallerLimits &stated = m_state.config->limits;
    limits.headerBytes = stated.headerBytes;
    limits.bodyBytes = stated.bodyBytes;
    limits.headerTimeout = stated.headerTimeout;
    limits.idleTimeout = stated.idleTimeout;
    return limits;
}

bool EntryGateway::isReady() const
{
    return m_state.config && m_state.platform.isLoaded() && !m_state.isStopping;
}

void EntryGateway::handleReadinessRequest(const HttpServerConnection::Pointer &session,
                                          const HttpRequest &request)
{
    if (request.target != m_state.protocol.readinessPath()) {
        session->sendResponse(404, "", "no such path");
        return;
    }
    session->sendResponse(isReady() ? 200 : 503, "", isReady() ? "ready" : "not ready");
}

void EntryGateway::handlePeerRequest(const HttpServerConnection::Pointer &session,
                                     const HttpRequest &request)
{
    if (request.target.starts_with("/state")) {
        m_stateReplicator.handleStateRequest(session, request.target);
        return;
    }
    if (request.target == LeaseStoreClient::path) {
        m_orderSender.handleLeaseRequest(session, request);
        return;
    }
    if (request.target == "/metrics") {
        Metrics::setGauge("servers", static_cast<double>(m_state.servers.servers().size()));
        Metrics::setGauge("waiting", static_cast<double>(m_state.waitQueue.size()));
        Metrics::setGauge("sessions", static_cast<double>(m_callers.connectionCount()));
        Metrics::setGauge("idle_connections", static_cast<double>(m_state.pool.idleCount()));
        Metrics::setGauge("lease_fencing", static_cast<double>(m_orderSender.fencingToken()));
        session->sendResponse(200, "Content-Type: text/plain; version=0.0.4\r\n", Metrics::text());
        return;
    }
    session->sendResponse(404, "", "no such path");
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
    detectStall();
    const Instant now = steadyNow();
    m_orderSender.tick();
    m_stateReplicator.tick();
    m_state.waitQueue.retryDispatches();
    if (now - m_lastHousekeepingAt >= housekeepingInterval) {
        m_lastHousekeepingAt = now;
        m_state.pool.closeExpiredConnections(now);
        m_state.crashDetector.expire(now);
        for (const ServerName &id : m_state.servers.removeExpired(now)) {
            m_state.chooser.clearPrefixCache(id);
            logNotable("server_gone", {{"server", id}, {"reason", "lapsed with the store away"}});
        }
    }
    m_tick.expires_after(tickInterval);
    m_tick.async_wait([this](const SystemErrorCode &ec) {
        if (!ec)
            tick();
    });
}

// After a standstill nothing that is known is as young as it seems.
void EntryGateway::detectStall()
{
    const Instant now = steadyNow();
    const Duration late = now - m_lastClockCheck;
    const Duration suspended = bootTimeNow() - Instant(now.time_since_epoch());
    const Duration slept = suspended - m_suspended;
    m_lastClockCheck = now;
    m_suspended = suspended;
    if (late < standstill && slept < standstill)
        return;
    logNotable("resumed", {{"late_ms", late}, {"suspended_ms", slept}});
    Metrics::incrementCounter("standstills");
    m_state.pool.closeAllIdleConnections();
    m_state.quotas.markPeersSilent(now);
    m_peers.onResumed();
    m_state.platform.refresh();
    m_stateReplicator.onResumed();
}

void EntryGateway::beginStop()
{
    logNotable("stopping",
               {{"handling", m_callers.activeRequestCount()},
                {"connections", m_callers.connectionCount()}});
    m_stopBegun = steadyNow();
    m_orderSender.resign();
    m_peers.announceLeaving();
    checkStopped();
}

void EntryGateway::checkStopped()
{
    const Duration since = steadyNow() - m_stopBegun;
    const Duration grace = m_state.settings.shutdownTimeout;
    const bool isOutOfRotation = since >= rotationTime;
    if (isOutOfRotation) {
        // A zone's only instance gets connections as long as it accepts them, ready or not.
        m_callers.stopListening();
        m_callers.closeIdleConnections();
    }
    if ((isOutOfRotation && m_callers.connectionCount() == 0) || since >= grace - stopMargin) {
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
