#include "Apps/Entry/OrderSender.h"

#include "Adapters/Metrics.h"
#include "Adapters/Process.h"
#include "Adapters/StructuredLog.h"

#include <boost/asio/post.hpp>

#include <ctime>

namespace quetzalyoke {

namespace {

// Engines respond to an order within milliseconds. After this timeout its outcome is unknown.
constexpr std::chrono::milliseconds orderTimeout{600};
constexpr std::chrono::milliseconds statusTimeout{600};
constexpr HttpClientConnection::Limits engineLimits{std::chrono::milliseconds(400),
                                                    std::chrono::milliseconds(800)};

// An engine with some hundred adapters tells its status in a few kilobytes.
constexpr std::size_t maxEngineBodyBytes = 262'144;

constexpr int statusOk = 200;

// Planning for some dozens of engines takes a few hundredths of a core. Instances with a smaller
// share of a core than this take over the lease later, so that larger ones get it.
constexpr double minPlanningProcessorShare = 0.15;
constexpr Duration smallInstanceTakeoverDelay = std::chrono::milliseconds(1500);

OrderOutcome outcomeOf(const HttpCallResult &result)
{
    if (result.outcome == ExchangeOutcome::NotSent)
        return OrderOutcome::NotSent;
    if (!result.hasResponse())
        return OrderOutcome::Unknown;
    switch (result.status) {
    case 202:
        return OrderOutcome::Accepted;
    case 200:
        return OrderOutcome::AlreadyDone;
    case 409:
        return OrderOutcome::Conflict;
    case 421:
        return OrderOutcome::WrongServer;
    case 400:
    case 412:
        return OrderOutcome::Invalid;
    default:
        return OrderOutcome::Unknown;
    }
}

PlacementLease::Settings leaseLimits(const EntrySettings &settings)
{
    PlacementLease::Settings limits;
    limits.holderChangeInterval = settings.holderChangeInterval;
    if (settings.processorShare < minPlanningProcessorShare)
        limits.extraTakeoverDelay = smallInstanceTakeoverDelay;
    return limits;
}

} // namespace

Instant bootTimeNow()
{
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return Instant(
        Duration(static_cast<std::int64_t>(now.tv_sec) * 1'000'000 + now.tv_nsec / 1'000));
}

OrderSender::OrderSender(EntryState &state, LoadedModelChangeHook onChanges,
                         LeaseStoreClient::PeersProvider peers)
    : m_state(state), m_onLoadedModelChanges(std::move(onChanges)),
      m_lease(leaseLimits(state.settings), state.settings.instance, Process::incarnation()),
      m_leaseClient(state, std::move(peers)), m_stepTimer(state.loop)
{ }

std::int64_t OrderSender::fencingToken() const
{
    return m_lease.mayOrderEngines(bootTimeNow()) ? m_lease.fencingToken().count() : 0;
}

std::optional<LeaseRow> OrderSender::heldLease() const
{
    if (!m_lease.mayOrderEngines(bootTimeNow()))
        return {};
    return m_lease.row();
}

bool OrderSender::issuesPermits() const
{
    return m_lease.isSoleHolder(bootTimeNow());
}

void OrderSender::onHolderRenewal(const LeaseRow &row)
{
    m_lease.onHolderRenewal(row, bootTimeNow());
}

void OrderSender::resign()
{
    m_lease.resign();
}

void OrderSender::tick()
{
    maintainLease();
    runStep();
    if (!issuesPermits())
        m_state.permitIssuer.clear();
    if (m_clients.size() > 2 * m_state.servers.servers().size())
        removeUnusedClients();
}

// Only the lease holder keeps its record of the engines up to date.
void OrderSender::onServersChanged()
{
    if (!m_lease.mayOrderEngines(bootTimeNow()))
        return;
    m_state.replicaController.setServers(m_state.servers);
    scheduleStep();
}

void OrderSender::scheduleStep()
{
    if (m_isStepScheduled || !m_lease.mayOrderEngines(bootTimeNow()))
        return;
    m_isStepScheduled = true;
    asio::post(m_state.loop, [this] {
        m_isStepScheduled = false;
        runStep();
    });
}

void OrderSender::maintainLease()
{
    const Instant now = bootTimeNow();
    switch (m_lease.nextAction(now)) {
    case PlacementLease::Action::None:
        return;
    case PlacementLease::Action::Read:
        m_leaseClient.read([this](const auto &row) {
            if (!row) {
                m_lease.onCallFailed(bootTimeNow());
                return;
            }
            m_lease.onRead(*row, bootTimeNow());
        });
        return;
    case PlacementLease::Action::Write:
        m_leaseClient.write(m_lease.rowToWrite(),
                            [this, now](EntryPlatform::WriteOutcome outcome, Version version) {
                                switch (outcome) {
                                case EntryPlatform::WriteOutcome::Done:
                                    m_lease.onWritten(version, now);
                                    return;
                                case EntryPlatform::WriteOutcome::Conflict:
                                    m_lease.onWritten({}, now);
                                    return;
                                case EntryPlatform::WriteOutcome::Failed:
                                    m_lease.onCallFailed(bootTimeNow());
                                    return;
                                }
                            });
        return;
    }
}

void OrderSender::runStep()
{
    const bool isHolder = m_lease.mayOrderEngines(bootTimeNow());
    if (isHolder != m_wasHolder) {
        logNotable(isHolder ? "lease_held" : "lease_lost",
                   {{"fencing", m_lease.fencingToken()}, {"row", m_lease.row().version}});
    }
    const bool isNew = isHolder && !m_wasHolder;
    m_wasHolder = isHolder;
    if (!isHolder)
        return;
    if (isNew)
        m_state.replicaController.setServers(m_state.servers);
    pauseLimitedEngines();
    const ReplicaController::Actions step
        = m_state.replicaController.nextActions(steadyNow(), isNew);
    for (const ConditionalEngineOrder &order : step.orders)
        sendOrder(order);
    for (const ServerName &server : step.statusRequests)
        requestEngineStatus(server);
    publishLoadedModelChanges();
    if (!step.nextAt)
        return;
    m_stepTimer.expires_at(*step.nextAt);
    m_stepTimer.async_wait([this](const SystemErrorCode &ec) {
        if (!ec)
            runStep();
    });
}

// Orders and status requests count towards an engine's request limit, too.
void OrderSender::pauseLimitedEngines()
{
    const Instant now = steadyNow();
    for (const auto &[id, server] : m_state.servers.servers()) {
        if (server.requestLimit.version() == 0)
            continue;
        Instant until = server.pausedUntil;
        if (server.requestLimit.limit())
            until
                = std::max(until, m_state.permitIssuer.callableAt(server.limitedServer(now), now));
        m_state.replicaController.setPausedUntil(id, until);
    }
}

void OrderSender::sendOrder(const ConditionalEngineOrder &order)
{
    const ServerState *server = m_state.servers.find(order.server);
    ConditionalEngineOrder sent = order;
    sent.holder = m_state.settings.instance.text();
    sent.fencingToken = m_lease.fencingToken().count();
    if (!server) {
        m_state.replicaController.onOrderOutcome(sent, OrderOutcome::NotSent, steadyNow());
        return;
    }
    const std::string address = server->listed.address;
    m_state.permitIssuer.recordCall(order.server, server->listed.incarnation, steadyNow());
    clientFor(address).call(
        m_state.protocol.engineOrderRequest(sent, address), orderTimeout,
        [this, sent, incarnation = server->listed.incarnation](const HttpCallResult &result) {
            if (result.hasResponse())
                m_state.applyServerSignal(
                    sent.server, incarnation,
                    m_state.protocol.parseEngineResponseHeaders(result.status, result.fields),
                    result.sentAt);
            const OrderOutcome outcome = outcomeOf(result);
            logNotable(
                "order",
                {{"server", sent.server},
                 {"kind", sent.kind == ConditionalEngineOrder::Kind::Load ? "load" : "unload"},
                 {"model", sent.model},
                 {"adapter", sent.adapter},
                 {"expected", sent.expectedOrderCount},
                 {"fencing", sent.fencingToken},
                 {"outcome", orderOutcomeText(outcome)},
                 {"took_ms", steadyNow() - result.sentAt}});
            Metrics::incrementCounter("orders", {{"outcome", orderOutcomeText(outcome)}});
            m_state.replicaController.onOrderOutcome(sent, outcome, steadyNow());
            publishLoadedModelChanges();
            scheduleStep();
        });
}

void OrderSender::requestEngineStatus(const ServerName &name)
{
    const ServerState *server = m_state.servers.find(name);
    if (!server)
        return;
    const std::string address = server->listed.address;
    Metrics::incrementCounter("statuses_asked");
    m_state.permitIssuer.recordCall(name, server->listed.incarnation, steadyNow());
    clientFor(address).call(
        m_state.protocol.engineStatusRequest(address), statusTimeout,
        [this, name, incarnation = server->listed.incarnation](const HttpCallResult &result) {
            onStatus(name, incarnation, result);
        });
}

void OrderSender::onStatus(const ServerName &name, Incarnation incarnation,
                           const HttpCallResult &result)
{
    if (!result.hasResponse())
        return;
    BackendResponseInfo verdict
        = m_state.protocol.parseEngineResponseHeaders(result.status, result.fields);
    const auto status = result.status == statusOk ? m_state.protocol.parseEngineStatus(result.body)
                                                  : std::optional<EngineStatus>();
    // The request does not name a server, so only the status shows whether the signal is from the
    // incarnation that was asked.
    const bool isSameIncarnation = status && status->incarnation == incarnation;
    verdict.isLeaving = verdict.isLeaving && isSameIncarnation;
    if (!isSameIncarnation) {
        verdict.requestLimit.reset();
        verdict.coldTime.reset();
    }
    m_state.applyServerSignal(name, incarnation, verdict, result.sentAt);
    if (result.status != statusOk)
        return;
    if (!status) {
        logNotable("bad_status", {{"server", name}});
        return;
    }
    m_state.replicaController.onStatus(name, *status, result.sentAt, steadyNow());
    publishLoadedModelChanges();
}

void OrderSender::publishLoadedModelChanges()
{
    const auto changes = m_state.replicaController.takeLoadedModelChanges();
    if (changes.empty())
        return;
    for (const LoadedModelChange &change : changes)
        m_state.servers.addLoadedModelChange(change, steadyNow());
    if (!m_lease.mayOrderEngines(bootTimeNow()))
        return;
    m_onLoadedModelChanges(changes);
    if (!m_state.waitQueue.isEmpty())
        asio::post(m_state.loop, [this] { m_state.waitQueue.retryDispatches(); });
}

HttpClient &OrderSender::clientFor(const std::string &address)
{
    auto &client = m_clients[address];
    if (!client)
        client = std::make_unique<HttpClient>(m_state.loop, Address::parse(address), engineLimits,
                                              maxEngineBodyBytes);
    return *client;
}

void OrderSender::removeUnusedClients()
{
    std::set<std::string> used;
    for (const auto &[id, server] : m_state.servers.servers())
        used.insert(server.listed.address);
    std::erase_if(m_clients, [&used](const auto &entry) { return used.count(entry.first) == 0; });
}

} // namespace quetzalyoke
