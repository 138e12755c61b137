#include "Apps/Entry/EntryGateway.h"

#include "Adapters/DecisionLog.h"
#include "Adapters/Metrics.h"
#include "Adapters/Process.h"
#include "Apps/Entry/Exchange.h"

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
                           const ServingDialect &dialect, EntryPlatform &platform)
    : m_loop(loop), m_state(settings, loop, dialect, platform),
      m_orders(
          m_state,
          [this](const std::vector<OrderNotice> &notices) { m_peers.tellNotices(notices); },
          [this] { return m_peers.statePeers(); }),
      m_peers(m_state,
              {[this] { return m_orders.heldLease(); },
               [this](const LeaseRow &row) { m_orders.onHolderNews(row); },
               [this] { return m_exchange.followsStore(); },
               [this](std::size_t rank, Duration newsInterval) {
                   m_orders.setWatch(rank, newsInterval);
               }}),
      m_exchange(m_state, [this] { return m_peers.statePeers(); }),
      m_callers(loop, settings.connections,
                {[this](const CallerSession::Pointer &session, CallerRequest &&request) {
                     std::make_shared<Exchange>(m_state, session, std::move(request))->start();
                 },
                 [this] { return callerLimits(); }, [this] { return m_state.isStopping; },
                 [](int status, const char *reason) {
                     logNotable("rejected", {{"status", status}, {"reason", reason}});
                     Metrics::count("rejected", {{"status", std::to_string(status)}});
                 }}),
      m_readiness(loop, readinessConnections,
                  {[this](const CallerSession::Pointer &session, CallerRequest &&request) {
                       answerReadiness(session, request);
                   },
                   [] { return SessionLimits(); }, [] { return false; }, [](int, const char *) {}}),
      m_peerServer(loop, peerConnections,
                   {[this](const CallerSession::Pointer &session, CallerRequest &&request) {
                        answerPeer(session, request);
                    },
                    [] { return SessionLimits(); }, [] { return false; },
                    [](int, const char *) {}}),
      m_signals(loop, SIGTERM, SIGINT, SIGHUP), m_tick(loop), m_stopTimer(loop)
{ }

void EntryGateway::run()
{
    logNotable("started",
               {{"version", Process::version()},
                {"incarnation", Process::incarnation()},
                {"callers", m_state.settings.callers.text()},
                {"zone", m_state.settings.zone}});
    m_state.onNeed = [this] {
        m_peers.tellNeeds();
        m_orders.wake();
    };
    m_state.onServerSignal = [this] {
        m_orders.onServersChanged();
        m_peers.tellDepartures();
        // Posted, since the signal may come from within an exchange that is being answered.
        asio::post(m_loop, [this] { m_state.waiting.retryAll(); });
    };
    m_steadySeen = loopNow();
    m_suspended = bootNow() - Instant(m_steadySeen.time_since_epoch());
    m_readiness.listen(m_state.settings.readiness);
    m_peerServer.listen(m_state.settings.peers);
    m_callers.listen(m_state.settings.callers);
    startPlatform();
    m_peers.start();
    awaitSignal();
    tick();
    m_loop.run();
    logNotable("stopped", {});
    DecisionLog::flush();
}

void EntryGateway::startPlatform()
{
    EntryPlatform::Hooks hooks;
    hooks.onConfig = [this](const ServingConfigPtr &config) { onConfig(config); };
    hooks.onServer = [this](const ListedServer &server) { onServer(server); };
    hooks.onServerGone = [this](const ServerName &id) { onServerGone(id); };
    hooks.onChanged = [this] {
        m_orders.onServersChanged();
        m_exchange.onChanged();
        m_state.waiting.retryAll();
    };
    hooks.onReach
        = [this](bool isReachable, const std::string &reason) { onReach(isReachable, reason); };
    hooks.onBadEntry = [](const std::string &key, const std::string &problem) {
        logNotable("bad_entry", {{"key", key}, {"reason", problem}});
        Metrics::count("bad_entries");
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
    m_state.director.setConfig(config);
    m_state.quotas.setConfig(*config, loopNow());
}

void EntryGateway::onServer(const ListedServer &server)
{
    const Instant now = loopNow();
    const ServerState *known = m_state.book.find(server.id);
    const bool isSameLife = known && known->listed.incarnation == server.incarnation;
    if (known && !isSameLife) {
        m_state.suspicions.noteServerLost(server.id, known->listed.incarnation, now);
        m_state.chooser.forget(server.id);
        m_state.pool.drop(known->listed.address);
    }
    if (!isSameLife || known->listed.isLeaving != server.isLeaving) {
        logNotable("server",
                   {{"server", server.id},
                    {"service", server.service},
                    {"address", server.address},
                    {"incarnation", server.incarnation},
                    {"state", server.isLeaving ? "leaving" : "ready"},
                    {"models", server.holdings.size()}});
    }
    m_state.book.put(server, now);
}

void EntryGateway::onServerGone(const ServerName &id)
{
    const ServerState *known = m_state.book.find(id);
    if (!known)
        return;
    const Incarnation incarnation = known->listed.incarnation;
    const bool wasLeaving = known->listed.isLeaving;
    const Instant now = loopNow();
    logNotable("server_gone",
               {{"server", id}, {"incarnation", incarnation}, {"was_leaving", wasLeaving ? 1 : 0}});
    if (!wasLeaving)
        m_state.suspicions.noteServerLost(id, incarnation, now);
    m_state.book.remove(id, now);
    if (!m_state.book.find(id))
        m_state.chooser.forget(id);
}

void EntryGateway::onReach(bool isReachable, const std::string &reason)
{
    if (!isReachable)
        m_state.book.noteListOutage(loopNow());
    if (isReachable == m_isReachable)
        return;
    m_isReachable = isReachable;
    logNotable(isReachable ? "store_regained" : "store_lost", {{"reason", reason}});
    Metrics::count("store_changes", {{"to", isReachable ? "reachable" : "lost"}});
}

SessionLimits EntryGateway::callerLimits() const
{
    SessionLimits limits;
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

void EntryGateway::answerReadiness(const CallerSession::Pointer &session,
                                   const CallerRequest &request)
{
    if (request.target != m_state.dialect.readinessPath()) {
        session->answer(404, "", "no such path");
        return;
    }
    session->answer(isReady() ? 200 : 503, "", isReady() ? "ready" : "not ready");
}

void EntryGateway::answerPeer(const CallerSession::Pointer &session, const CallerRequest &request)
{
    if (request.target.starts_with("/state")) {
        m_exchange.answer(session, request.target);
        return;
    }
    if (request.target == LeaseRelay::path) {
        m_orders.answerPeer(session, request);
        return;
    }
    if (request.target == "/metrics") {
        Metrics::gauge("servers", static_cast<double>(m_state.book.servers().size()));
        Metrics::gauge("waiting", static_cast<double>(m_state.waiting.size()));
        Metrics::gauge("sessions", static_cast<double>(m_callers.connections()));
        Metrics::gauge("idle_connections", static_cast<double>(m_state.pool.idle()));
        Metrics::gauge("lease_fencing", static_cast<double>(m_orders.fencing()));
        session->answer(200, "Content-Type: text/plain; version=0.0.4\r\n", Metrics::text());
        return;
    }
    session->answer(404, "", "no such path");
}

void EntryGateway::awaitSignal()
{
    m_signals.async_wait([this](const SystemError &ec, int signal) {
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
    watchClocks();
    const Instant now = loopNow();
    m_orders.tick();
    m_exchange.tick();
    m_state.waiting.retryAll();
    if (now - m_housekeptAt >= housekeepingInterval) {
        m_housekeptAt = now;
        m_state.pool.closeStale(now);
        m_state.suspicions.expire(now);
        for (const ServerName &id : m_state.book.expire(now)) {
            m_state.chooser.forget(id);
            logNotable("server_gone", {{"server", id}, {"reason", "lapsed with the store away"}});
        }
    }
    m_tick.expires_after(tickInterval);
    m_tick.async_wait([this](const SystemError &ec) {
        if (!ec)
            tick();
    });
}

// After a standstill nothing that is known is as young as it seems.
void EntryGateway::watchClocks()
{
    const Instant now = loopNow();
    const Duration late = now - m_steadySeen;
    const Duration suspended = bootNow() - Instant(now.time_since_epoch());
    const Duration slept = suspended - m_suspended;
    m_steadySeen = now;
    m_suspended = suspended;
    if (late < standstill && slept < standstill)
        return;
    logNotable("resumed", {{"late_ms", late}, {"suspended_ms", slept}});
    Metrics::count("standstills");
    m_state.pool.dropAll();
    m_state.quotas.suspectPeers(now);
    m_peers.onResumed();
    m_state.platform.refresh();
    m_exchange.onResumed();
}

void EntryGateway::beginStop()
{
    logNotable("stopping",
               {{"handling", m_callers.handling()}, {"connections", m_callers.connections()}});
    m_stopBegun = loopNow();
    m_orders.resign();
    m_peers.leave();
    checkStopped();
}

void EntryGateway::checkStopped()
{
    const Duration since = loopNow() - m_stopBegun;
    const Duration grace = m_state.settings.stopGrace;
    const bool isOutOfRotation = since >= rotationTime;
    if (isOutOfRotation) {
        // A zone's only instance gets connections as long as it accepts them, ready or not.
        m_callers.stopListening();
        m_callers.closeIdle();
    }
    if ((isOutOfRotation && m_callers.connections() == 0) || since >= grace - stopMargin) {
        m_state.platform.stop();
        m_loop.stop();
        return;
    }
    m_stopTimer.expires_after(tickInterval);
    m_stopTimer.async_wait([this](const SystemError &ec) {
        if (!ec)
            checkStopped();
    });
}

} // namespace quetzalyoke
