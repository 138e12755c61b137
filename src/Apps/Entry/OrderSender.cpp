#include "Apps/Entry/OrderSender.h"

#include "Adapters/DecisionLog.h"
#include "Adapters/Metrics.h"
#include "Adapters/Process.h"

#include <boost/asio/post.hpp>

#include <ctime>

namespace quetzalyoke {

namespace {

// Engines answer an order within milliseconds; afterwards its outcome counts as unknown.
constexpr std::chrono::milliseconds orderTimeout{600};
constexpr std::chrono::milliseconds statusTimeout{600};
constexpr ClientConnection::Limits engineLimits{std::chrono::milliseconds(400),
                                                std::chrono::milliseconds(800)};

constexpr int statusOk = 200;

// Planning for some dozens of engines takes a few hundredths of a core; instances that have little
// more leave it to larger ones.
constexpr double largeProcessorShare = 0.15;
constexpr Duration smallReluctance = std::chrono::milliseconds(1500);

OrderOutcome outcomeOf(const HttpOutcome &outcome)
{
    if (outcome.end == ExchangeEnd::NotSent)
        return OrderOutcome::NotSent;
    if (!outcome.isAnswered())
        return OrderOutcome::Unknown;
    switch (outcome.status) {
    case 202:
        return OrderOutcome::Accepted;
    case 200:
        return OrderOutcome::AlreadyHolds;
    case 409:
        return OrderOutcome::Conflict;
    case 421:
        return OrderOutcome::WrongServer;
    case 400:
    case 412:
        return OrderOutcome::Impossible;
    default:
        return OrderOutcome::Unknown;
    }
}

PlacementLease::Limits leaseLimits(const EntrySettings &settings)
{
    PlacementLease::Limits limits;
    limits.holderPause = settings.holderPause;
    if (settings.processorShare < largeProcessorShare)
        limits.reluctance = smallReluctance;
    return limits;
}

} // namespace

Instant bootNow()
{
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return Instant(
        Duration(static_cast<std::int64_t>(now.tv_sec) * 1'000'000 + now.tv_nsec / 1'000));
}

OrderSender::OrderSender(EntryState &state, NoticeHook onNotices, LeaseRelay::Peers peers)
    : m_state(state), m_onNotices(std::move(onNotices)),
      m_lease(leaseLimits(state.settings), state.settings.instance, Process::incarnation()),
      m_relay(state, std::move(peers)), m_nextTimer(state.loop)
{ }

std::int64_t OrderSender::fencing() const
{
    return m_lease.mayOrder(bootNow()) ? m_lease.fencing().count() : 0;
}

std::optional<LeaseRow> OrderSender::heldLease() const
{
    if (!m_lease.mayOrder(bootNow()))
        return {};
    return m_lease.row();
}

void OrderSender::onHolderNews(const LeaseRow &row)
{
    m_lease.onHolderNews(row, bootNow());
}

void OrderSender::resign()
{
    m_lease.resign();
}

void OrderSender::tick()
{
    keepLease();
    giveOrders();
    if (m_callers.size() > 2 * m_state.book.servers().size())
        dropUnusedCallers();
}

// Only a holder keeps its books of the engines up to date.
void OrderSender::onServersChanged()
{
    if (!m_lease.mayOrder(bootNow()))
        return;
    m_state.director.setServers(m_state.book);
    wake();
}

void OrderSender::wake()
{
    if (m_isWoken || !m_lease.mayOrder(bootNow()))
        return;
    m_isWoken = true;
    asio::post(m_state.loop, [this] {
        m_isWoken = false;
        giveOrders();
    });
}

void OrderSender::keepLease()
{
    const Instant now = bootNow();
    switch (m_lease.next(now)) {
    case PlacementLease::Action::None:
        return;
    case PlacementLease::Action::Read:
        m_relay.read([this](const auto &row) {
            if (!row) {
                m_lease.onFailed(bootNow());
                return;
            }
            m_lease.onRead(*row, bootNow());
        });
        return;
    case PlacementLease::Action::Write:
        m_relay.write(m_lease.proposal(),
                      [this, now](EntryPlatform::WriteOutcome outcome, Version version) {
                          switch (outcome) {
                          case EntryPlatform::WriteOutcome::Done:
                              m_lease.onWritten(version, now);
                              return;
                          case EntryPlatform::WriteOutcome::Conflict:
                              m_lease.onWritten({}, now);
                              return;
                          case EntryPlatform::WriteOutcome::Failed:
                              m_lease.onFailed(bootNow());
                              return;
                          }
                      });
        return;
    }
}

void OrderSender::giveOrders()
{
    const bool isHolder = m_lease.mayOrder(bootNow());
    if (isHolder != m_wasHolder) {
        logNotable(isHolder ? "lease_held" : "lease_lost",
                   {{"fencing", m_lease.fencing()}, {"row", m_lease.row().version}});
    }
    const bool isNew = isHolder && !m_wasHolder;
    m_wasHolder = isHolder;
    if (!isHolder)
        return;
    if (isNew)
        m_state.director.setServers(m_state.book);
    const EngineDirector::Step step = m_state.director.next(loopNow(), isNew);
    for (const EngineCommand &command : step.commands)
        sendCommand(command);
    for (const ServerName &server : step.statuses)
        askStatus(server);
    publishNotices();
    if (!step.nextAt)
        return;
    m_nextTimer.expires_at(*step.nextAt);
    m_nextTimer.async_wait([this](const SystemError &ec) {
        if (!ec)
            giveOrders();
    });
}

void OrderSender::sendCommand(const EngineCommand &command)
{
    const ServerState *server = m_state.book.find(command.server);
    EngineCommand sent = command;
    sent.holder = m_state.settings.instance.text();
    sent.fencing = m_lease.fencing().count();
    if (!server) {
        m_state.director.takeOutcome(sent, OrderOutcome::NotSent, loopNow());
        return;
    }
    const std::string address = server->listed.address;
    callerOf(address).call(
        m_state.dialect.commandRequest(sent, address), orderTimeout,
        [this, sent, incarnation = server->listed.incarnation](const HttpOutcome &http) {
            if (http.isAnswered())
                m_state.takeServerSignal(sent.server, incarnation,
                                         m_state.dialect.judgeEngine(http.status, http.fields));
            const OrderOutcome outcome = outcomeOf(http);
            logNotable("order",
                       {{"server", sent.server},
                        {"kind", sent.kind == EngineCommand::Kind::Load ? "load" : "unload"},
                        {"model", sent.model},
                        {"adapter", sent.adapter},
                        {"expected", sent.expectedOrders},
                        {"fencing", sent.fencing},
                        {"outcome", orderOutcomeText(outcome)},
                        {"took_ms", loopNow() - http.sentAt}});
            Metrics::count("orders", {{"outcome", orderOutcomeText(outcome)}});
            m_state.director.takeOutcome(sent, outcome, loopNow());
            publishNotices();
            wake();
        });
}

void OrderSender::askStatus(const ServerName &name)
{
    const ServerState *server = m_state.book.find(name);
    if (!server)
        return;
    const std::string address = server->listed.address;
    Metrics::count("statuses_asked");
    callerOf(address).call(m_state.dialect.statusRequest(address), statusTimeout,
                           [this, name, incarnation = server->listed.incarnation](
                               const HttpOutcome &http) { onStatus(name, incarnation, http); });
}

void OrderSender::onStatus(const ServerName &name, Incarnation asked, const HttpOutcome &http)
{
    if (!http.isAnswered())
        return;
    BackendVerdict verdict = m_state.dialect.judgeEngine(http.status, http.fields);
    const auto status = http.status == statusOk ? m_state.dialect.readStatus(http.body)
                                                : std::optional<EngineStatus>();
    // The request names no server, so only a report that does tells whose signal this is.
    verdict.isLeaving = verdict.isLeaving && status && status->incarnation == asked;
    m_state.takeServerSignal(name, asked, verdict);
    if (http.status != statusOk)
        return;
    if (!status) {
        logNotable("bad_status", {{"server", name}});
        return;
    }
    m_state.director.takeStatus(name, *status, http.sentAt, loopNow());
    publishNotices();
}

void OrderSender::publishNotices()
{
    const auto notices = m_state.director.takeNotices();
    if (notices.empty())
        return;
    for (const OrderNotice &notice : notices)
        m_state.book.addNotice(notice, loopNow());
    if (!m_lease.mayOrder(bootNow()))
        return;
    m_onNotices(notices);
    if (!m_state.waiting.isEmpty())
        asio::post(m_state.loop, [this] { m_state.waiting.retryAll(); });
}

HttpCaller &OrderSender::callerOf(const std::string &address)
{
    auto &caller = m_callers[address];
    if (!caller)
        caller = std::make_unique<HttpCaller>(m_state.loop, Address::parse(address), engineLimits);
    return *caller;
}

void OrderSender::dropUnusedCallers()
{
    std::set<std::string> used;
    for (const auto &[id, server] : m_state.book.servers())
        used.insert(server.listed.address);
    std::erase_if(m_callers, [&used](const auto &entry) { return used.count(entry.first) == 0; });
}

} // namespace quetzalyoke
