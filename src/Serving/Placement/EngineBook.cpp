#include "Serving/Placement/EngineBook.h"

#include <algorithm>

namespace quetzalyoke {

namespace {

// Engines' reports are some hundred milliseconds old.
constexpr Duration reportLag = std::chrono::milliseconds(300);

// By then the platform's list shows a change: a heartbeat and its own lag.
constexpr Duration listLag = std::chrono::seconds(4);

// Between two status requests to one engine.
constexpr Duration statusPause = std::chrono::milliseconds(250);

// An engine that refuses an order because of another one is asked and tried again after it.
constexpr Duration conflictPause = std::chrono::milliseconds(150);

// An order without an answer is sent again after it.
constexpr Duration repeatPause = std::chrono::milliseconds(100);

// Unloading waits for running requests; the engine is asked from here on.
constexpr Duration unloadTime = std::chrono::milliseconds(300);

// An adapter takes 5 to 10 ms, longer while many are loaded.
constexpr Duration adapterTime = std::chrono::milliseconds(12);

// A finished order is forgotten this long after its expected end, whatever reports say.
constexpr Duration longestOverrun = std::chrono::seconds(8);

} // namespace

const char *orderOutcomeText(OrderOutcome outcome)
{
    switch (outcome) {
    case OrderOutcome::Accepted:
        return "accepted";
    case OrderOutcome::AlreadyHolds:
        return "already_holds";
    case OrderOutcome::Conflict:
        return "conflict";
    case OrderOutcome::WrongServer:
        return "wrong_server";
    case OrderOutcome::Impossible:
        return "impossible";
    case OrderOutcome::Unknown:
        return "unknown";
    case OrderOutcome::NotSent:
        return "not_sent";
    }
    return "unknown";
}

EngineBook::EngineBook(const ListedServer &listed, std::shared_ptr<const EngineSpec> spec)
    : m_listed(listed), m_spec(std::move(spec)), m_holdings(listed.holdings),
      m_atHand(listed.atHand)
{ }

void EngineBook::takeListed(const ListedServer &listed)
{
    m_listed = listed;
    // A holder knows its own orders better than a list that may lag by as long as the store is
    // away.
    if (m_isOrdersKnown || m_open || m_running)
        return;
    m_holdings = listed.holdings;
    m_atHand = listed.atHand;
}

void EngineBook::forgetOrders()
{
    m_isOrdersKnown = false;
    m_open.reset();
    m_running.reset();
    m_inFlight = false;
    m_mustAsk = true;
}

void EngineBook::takeStatus(const EngineStatus &status, Instant askedAt, Instant now)
{
    // A report may show the engine as it was before the latest order.
    const bool isOld
        = m_isOrdersKnown && status.orders < m_orders && askedAt < m_changedAt + listLag;
    if (askedAt < m_changedAt + reportLag || isOld) {
        m_askAt = now + statusPause;
        return;
    }
    m_atHand = status.atHand;
    if (!m_isOrdersKnown)
        m_orders = status.orders;
    m_isOrdersKnown = true;
    if (m_open) {
        if (m_inFlight || askedAt < m_openSince + reportLag)
            return;
        if (status.orders == m_orders) {
            m_mustAsk = false; // nothing came of it yet; it is sent again
            return;
        }
        // One of the orders that named this count was carried out, and only this one did.
        const EngineCommand command = *m_open;
        m_open.reset();
        applyAccepted(command, now);
    }
    m_mustAsk = false;
    m_orders = status.orders;
    const bool isBusy = status.isBusy || !status.loadingAdapters.empty();
    settle(status.holdings, isBusy, now);
    // An order of another holder is under way: what it brings is not among the holdings yet.
    if (isBusy && !m_running) {
        m_mustAsk = true;
        m_askAt = now + statusPause;
    }
}

// Holdings as the engine showed them with all accepted orders taken into account.
void EngineBook::settle(const Holdings &holdings, bool isBusy, Instant now)
{
    if (m_running) {
        const bool isLoad = m_running->kind == EngineCommand::Kind::Load;
        const auto it = holdings.find(m_running->model);
        const bool isThere = it != holdings.end()
            && (m_running->adapter.isEmpty() || it->second.count(m_running->adapter) > 0);
        const bool isDone = isThere == isLoad && !isBusy;
        if (!isDone && now < m_runningUntil + longestOverrun) {
            m_mustAsk = true;
            m_askAt = std::max(m_askAt, now + statusPause);
            return;
        }
        m_running.reset();
    }
    m_holdings = holdings;
}

void EngineBook::takeOutcome(const EngineCommand &command, OrderOutcome outcome, Instant now)
{
    m_inFlight = false;
    if (!m_open)
        return;
    switch (outcome) {
    case OrderOutcome::Accepted:
        m_open.reset();
        applyAccepted(command, now);
        return;
    case OrderOutcome::AlreadyHolds:
        m_open.reset();
        if (command.kind == EngineCommand::Kind::Load) {
            auto &adapters = m_holdings[command.model];
            if (!command.adapter.isEmpty())
                adapters.insert(command.adapter);
        } else {
            // An adapter that no request uses is unloaded at once.
            applyAccepted(command, now);
            m_running.reset();
        }
        // Whether it counted as accepted is only known from the engine.
        m_mustAsk = true;
        m_askAt = now + reportLag;
        m_changedAt = now;
        return;
    case OrderOutcome::Conflict:
        // Without an earlier try whose answer was lost, nothing can come of it any more.
        if (!m_isDoubtful)
            m_open.reset();
        m_mustAsk = true;
        m_askAt = std::max(now, m_openSince + reportLag);
        m_retryAt = now + conflictPause;
        return;
    case OrderOutcome::WrongServer:
    case OrderOutcome::Impossible:
        m_open.reset();
        m_mustAsk = true;
        m_askAt = now + reportLag;
        return;
    case OrderOutcome::NotSent:
        if (!m_isDoubtful)
            m_open.reset();
        m_retryAt = now + repeatPause;
        return;
    case OrderOutcome::Unknown:
        m_isDoubtful = true;
        m_retryAt = now + repeatPause;
        return;
    }
}

void EngineBook::applyAccepted(const EngineCommand &command, Instant now)
{
    m_orders = command.expectedOrders + 1;
    m_changedAt = now;
    m_running = command;
    const bool isLoad = command.kind == EngineCommand::Kind::Load;
    if (!command.adapter.isEmpty()) {
        // Requests for an adapter that is on its way would be turned down.
        m_runningUntil = now + (isLoad ? adapterTime : Duration(0));
        if (!isLoad)
            advance(now);
        return;
    }
    if (isLoad) {
        m_runningUntil = now + loadTimeOf(command.model);
    } else {
        m_runningUntil = now + unloadTime;
        m_holdings.erase(command.model);
    }
    m_mustAsk = true;
    m_askAt = now + reportLag;
}

void EngineBook::advance(Instant now)
{
    if (!m_running || m_running->adapter.isEmpty() || now < m_runningUntil)
        return;
    const auto model = m_holdings.find(m_running->model);
    if (model != m_holdings.end()) {
        if (m_running->kind == EngineCommand::Kind::Load)
            model->second.insert(m_running->adapter);
        else
            model->second.erase(m_running->adapter);
    }
    m_running.reset();
}

std::optional<Instant> EngineBook::nextChange() const
{
    if (!m_running || m_running->adapter.isEmpty())
        return {};
    return m_runningUntil;
}

bool EngineBook::isFree(Instant now) const
{
    return m_isOrdersKnown && !m_open && !m_running && !m_mustAsk && now >= m_retryAt
        && !wantsNothing(now);
}

std::optional<EngineCommand> EngineBook::repeat(Instant now) const
{
    if (wantsNothing(now) || !m_open || m_inFlight || now < m_retryAt
        || (m_mustAsk && now < m_retryAt + reportLag))
        return {};
    return m_open;
}

bool EngineBook::needsStatus(Instant now) const
{
    return m_mustAsk && !wantsNothing(now) && now >= m_askAt
        && now - m_statusAskedAt >= statusPause;
}

EngineCommand EngineBook::makeLoad(const ModelName &model, const AdapterName &adapter) const
{
    EngineCommand command;
    command.kind = EngineCommand::Kind::Load;
    command.server = m_listed.id;
    command.model = model;
    command.adapter = adapter;
    command.expectedOrders = m_orders;
    return command;
}

EngineCommand EngineBook::makeUnload(const ModelName &model, const AdapterName &adapter) const
{
    EngineCommand command = makeLoad(model, adapter);
    command.kind = EngineCommand::Kind::Unload;
    return command;
}

void EngineBook::noteSent(const EngineCommand &command, Instant now)
{
    if (!m_open) {
        m_openSince = now;
        m_isDoubtful = false;
    }
    m_open = command;
    m_inFlight = true;
    m_mustAsk = false;
}

Duration EngineBook::loadTimeOf(const ModelName &model) const
{
    const auto it = m_spec->models.find(model);
    if (it == m_spec->models.end())
        return Duration(0);
    return isAtHand(model) ? it->second.atHandLoadTime : it->second.loadTime;
}

double EngineBook::megabytesOf(const ModelName &model) const
{
    const auto it = m_spec->models.find(model);
    // A model that the configuration doesn't know may take all there is.
    return it == m_spec->models.end() ? m_spec->megabytes : it->second.megabytes;
}

double EngineBook::adapterMegabytesOf(const ModelName &model) const
{
    const auto it = m_spec->models.find(model);
    return it == m_spec->models.end() ? 0 : it->second.adapterMegabytes;
}

std::array<const EngineCommand *, 2> EngineBook::unfinished() const
{
    return {m_open ? &*m_open : nullptr, m_running ? &*m_running : nullptr};
}

int EngineBook::adapterCount() const
{
    std::size_t n = 0;
    for (const auto &[model, adapters] : m_holdings)
        n += adapters.size();
    for (const auto *command : unfinished()) {
        if (command && command->kind == EngineCommand::Kind::Load && !command->adapter.isEmpty())
            ++n;
    }
    return static_cast<int>(n);
}

double EngineBook::freeMegabytes() const
{
    double used = 0;
    for (const auto &[model, adapters] : m_holdings)
        used += megabytesOf(model)
            + adapterMegabytesOf(model) * static_cast<double>(adapters.size());
    // Loads that are open or under way, and unloads that aren't finished, still take memory.
    for (const auto *command : unfinished()) {
        if (!command)
            continue;
        if (!command->adapter.isEmpty()) {
            used += adapterMegabytesOf(command->model);
            continue;
        }
        if (m_holdings.count(command->model) == 0)
            used += megabytesOf(command->model);
    }
    return m_spec->megabytes - used;
}

bool EngineBook::fits(const ModelName &model, const AdapterName &adapter) const
{
    if (adapter.isEmpty())
        return megabytesOf(model) <= freeMegabytes();
    return adapterCount() < m_spec->adapterSlots && adapterMegabytesOf(model) <= freeMegabytes();
}

bool EngineBook::holds(const ModelName &model, const AdapterName &adapter) const
{
    const auto it = m_holdings.find(model);
    if (it == m_holdings.end())
        return false;
    return adapter.isEmpty() || it->second.count(adapter) > 0;
}

bool EngineBook::isUnloading(const ModelName &model) const
{
    return m_open && m_open->kind == EngineCommand::Kind::Unload && m_open->adapter.isEmpty()
        && m_open->model == model;
}

std::optional<ModelName> EngineBook::loadingModel() const
{
    for (const auto *command : unfinished()) {
        if (command && command->kind == EngineCommand::Kind::Load && command->adapter.isEmpty())
            return command->model;
    }
    return {};
}

bool EngineBook::isLoading(const ModelName &model, const AdapterName &adapter) const
{
    for (const auto *command : unfinished()) {
        if (command && command->kind == EngineCommand::Kind::Load && command->model == model
            && command->adapter == adapter)
            return true;
    }
    return false;
}

} // namespace quetzalyoke
