#include "Serving/Placement/EngineDirector.h"

#include <algorithm>
#include <cmath>

namespace quetzalyoke {

namespace {

// A need that no gateway has repeated for this long is over.
constexpr Duration needLifetime = std::chrono::milliseconds(600);

// An order that the engine called impossible is not tried again before.
constexpr Duration impossiblePause = std::chrono::seconds(5);

// Between two further copies of one adapter: by then requests go to the first of them.
constexpr Duration reliefPause = std::chrono::milliseconds(250);

// An adapter counts as asked for until this long after its last request.
constexpr Duration useMemory = std::chrono::seconds(2);

// From the load of an adapter to the end of the first request that waits for it, if that is short.
constexpr Duration firstUse = std::chrono::milliseconds(600);

// Loads that may begin at once after a pause; the engines' rules allow three beyond the rate.
constexpr double savedLoads = 2;

// Between two looks at the copies of all models, and changes that one look may bring: together more
// than a weight store allows.
constexpr Duration planInterval = std::chrono::milliseconds(150);
constexpr int changesPerPlan = 3;

// Below the weight store's rate, so that clocks that differ don't exceed it.
constexpr double usedShareOfRate = 0.95;

} // namespace

EngineDirector::EngineDirector(const Settings &settings)
    : m_settings(settings), m_planner(settings.copies)
{ }

void EngineDirector::setServers(const ServerBook &book)
{
    if (!m_config)
        return;
    std::set<ServerName> listed;
    for (const auto &[id, state] : book.servers()) {
        const ServiceSpec *service = m_config->findService(state.listed.service);
        if (!service || !service->engine)
            continue;
        listed.insert(id);
        const std::shared_ptr<const EngineSpec> spec(m_config, &*service->engine);
        auto &books = booksOf(service->name);
        const auto it = books.find(id);
        const bool isKnown = it != books.end()
            && it->second.listed().incarnation == state.listed.incarnation
            && it->second.listed().address == state.listed.address;
        if (isKnown) {
            it->second.takeListed(state.listed);
            it->second.setSpec(spec);
            it->second.setPausedUntil(state.pausedUntil);
            continue;
        }
        if (it != books.end())
            books.erase(it);
        const auto added = books.emplace(id, EngineBook(state.listed, spec)).first;
        added->second.forgetOrders();
        added->second.setPausedUntil(state.pausedUntil);
        m_services[id] = service->name;
        m_planned.erase(id);
    }
    for (auto &[service, books] : m_books)
        std::erase_if(books, [&](const auto &entry) { return listed.count(entry.first) == 0; });
}

void EngineDirector::noteDemand(const ModelName &model, std::int64_t tokens, Instant now)
{
    auto &demand = m_demand[model];
    demand.tokensPerSecond = demandOf(model, now);
    demand.at = now;
    const double window = inSeconds(m_settings.demandWindow);
    demand.tokensPerSecond += static_cast<double>(tokens) / window;
}

double EngineDirector::demandOf(const ModelName &model, Instant now) const
{
    const auto it = m_demand.find(model);
    if (it == m_demand.end())
        return 0;
    const double age = inSeconds(now - it->second.at);
    const double window = inSeconds(m_settings.demandWindow);
    return it->second.tokensPerSecond * std::exp(-std::max(0.0, age) / window);
}

void EngineDirector::noteNeed(const ModelName &model, const AdapterName &adapter, Instant now)
{
    m_needs[{model, adapter}] = now;
}

void EngineDirector::noteRelief(const ServerName &server, const ModelName &model,
                                const AdapterName &adapter, Instant now)
{
    m_reliefs[{model, adapter}] = {server, now};
}

void EngineDirector::noteUse(const ServerName &server, const ModelName &model,
                             const AdapterName &adapter, Instant until)
{
    Instant &end = m_uses[{server, {model, adapter}}];
    end = std::max(end, until);
}

EngineDirector::Step EngineDirector::next(Instant now, bool isNew)
{
    Step step;
    if (!m_config)
        return step;
    std::erase_if(m_needs, [now](const auto &need) { return now - need.second > needLifetime; });
    std::erase_if(m_reliefs,
                  [now](const auto &it) { return now - it.second.second > needLifetime; });
    std::erase_if(m_relievedAt, [now](const auto &it) { return now - it.second > reliefPause; });
    std::erase_if(m_uses, [now](const auto &use) { return now - use.second > useMemory; });
    for (const auto &[name, service] : m_config->services) {
        if (!service.engine)
            continue;
        const EngineSpec &spec = *service.engine;
        auto &pacer = m_pacers[name];
        if (isNew) {
            pacer = LoadPacer();
            for (auto &[id, book] : booksOf(name))
                book.forgetOrders();
        }
        pacer.setRate(spec.loadsPerSecond * usedShareOfRate, savedLoads, now);
        for (auto &[id, book] : booksOf(name)) {
            const auto change = book.nextChange();
            if (change && *change <= now) {
                const Holdings before = book.holdings();
                book.advance(now);
                noticeChanges(book, before);
            }
            if (book.needsStatus(now)) {
                book.noteStatusAsked(now);
                step.statuses.push_back(id);
            }
            const auto repeat = book.repeat(now);
            if (!repeat)
                continue;
            book.noteSent(*repeat, now);
            step.commands.push_back(*repeat);
        }
        planAdapters(name, spec, step, now);
        planReliefs(name, step, now);
        startPlannedLoads(name, step, now);
        if (now >= m_planAt)
            planCopies(name, spec, step, now);
        for (const auto &[id, book] : booksOf(name)) {
            const auto at = book.nextChange();
            if (at && (!step.nextAt || *at < *step.nextAt))
                step.nextAt = at;
        }
    }
    if (now >= m_planAt)
        m_planAt = now + planInterval;
    return step;
}

void EngineDirector::planAdapters(const ServiceName &service, const EngineSpec &spec, Step &step,
                                  Instant now)
{
    const auto &books = booksOf(service);
    for (const auto &need : m_needs) {
        const AdapterKey &key = need.first;
        if (key.second.isEmpty() || spec.models.count(key.first) == 0)
            continue;
        const bool isComing = std::any_of(books.begin(), books.end(), [&](const auto &entry) {
            return entry.second.isLoading(key.first, key.second)
                || (entry.second.holds(key.first, key.second) && !entry.second.listed().isLeaving);
        });
        if (!isComing)
            planAdapter(key, books, step, now);
    }
}

void EngineDirector::planAdapter(const AdapterKey &key, const CopyPlanner::Books &books, Step &step,
                                 Instant now)
{
    ServerName bestServer;
    AdapterKey bestVictim;
    bool bestHasRoom = false;
    int bestCount = 0;
    Instant bestUse;
    for (const auto &[id, book] : books) {
        if (book.listed().isLeaving || !book.isFree(now) || !book.holds(key.first, {}))
            continue;
        const auto refused = m_impossible.find({id, key});
        if (refused != m_impossible.end() && now - refused->second < impossiblePause)
            continue;
        if (book.fits(key.first, key.second)) {
            if (!bestHasRoom || book.adapterCount() < bestCount) {
                bestServer = id;
                bestHasRoom = true;
                bestCount = book.adapterCount();
            }
            continue;
        }
        if (bestHasRoom)
            continue;
        const auto victim = longestUnused(book, now);
        if (!victim || (!bestServer.isEmpty() && victim->second >= bestUse))
            continue;
        bestServer = id;
        bestVictim = victim->first;
        bestUse = victim->second;
    }
    EngineBook *book = findBook(bestServer);
    if (!book)
        return;
    if (bestHasRoom)
        send(*book, book->makeLoad(key.first, key.second), step, now);
    else
        send(*book, book->makeUnload(bestVictim.first, bestVictim.second), step, now);
}

// The adapter whose last request ended first, and when; nothing if all are in use.
std::optional<std::pair<EngineDirector::AdapterKey, Instant>>
EngineDirector::longestUnused(const EngineBook &book, Instant now) const
{
    std::optional<std::pair<AdapterKey, Instant>> longest;
    for (const auto &[model, adapters] : book.holdings()) {
        for (const AdapterName &adapter : adapters) {
            const auto use = m_uses.find({book.listed().id, {model, adapter}});
            const Instant endedAt = use == m_uses.end() ? Instant() : use->second;
            if (now - endedAt < m_settings.adapterIdle || (longest && endedAt >= longest->second))
                continue;
            longest = {{model, adapter}, endedAt};
        }
    }
    return longest;
}

// Further copies of adapters whose engines are busy.
void EngineDirector::planReliefs(const ServiceName &service, Step &step, Instant now)
{
    for (const auto &[key, relief] : m_reliefs) {
        const ServerName &server = relief.first;
        EngineBook *book = findBook(server);
        if (!book || m_services[server] != service || m_relievedAt.count(key) > 0
            || book->listed().isLeaving || !book->isFree(now) || !book->holds(key.first, {})
            || book->holds(key.first, key.second))
            continue;
        if (book->fits(key.first, key.second)) {
            send(*book, book->makeLoad(key.first, key.second), step, now);
            m_relievedAt[key] = now;
            continue;
        }
        if (const auto victim = longestUnused(*book, now))
            send(*book, book->makeUnload(victim->first.first, victim->first.second), step, now);
    }
}

// Loads whose room has just been made.
void EngineDirector::startPlannedLoads(const ServiceName &service, Step &step, Instant now)
{
    for (auto it = m_planned.begin(); it != m_planned.end();) {
        EngineBook *book = findBook(it->first);
        const bool isObsolete = !book || book->listed().isLeaving || book->holds(it->second, {})
            || book->isLoading(it->second, {});
        if (isObsolete) {
            it = m_planned.erase(it);
            continue;
        }
        if (!book->isFree(now) || m_services[it->first] != service) {
            ++it;
            continue;
        }
        if (!book->fits(it->second, {})) {
            it = m_planned.erase(it);
            continue;
        }
        // The engine may have dropped it from its disk since.
        if (m_unpaced.count(it->first) > 0 && !book->isAtHand(it->second)
            && !m_pacers[service].take(now)) {
            ++it;
            continue;
        }
        send(*book, book->makeLoad(it->second, {}), step, now);
        it = m_planned.erase(it);
    }
}

void EngineDirector::planCopies(const ServiceName &service, const EngineSpec &spec, Step &step,
                                Instant now)
{
    auto &books = booksOf(service);
    auto &pacer = m_pacers[service];
    const CopyPlanner::Demand work = workOf(spec, now);
    const std::set<ModelName> missing = missingModels(spec, books, now);
    std::set<ModelName> wanted;
    for (const auto &[need, at] : m_needs)
        wanted.insert(need.first);
    for (int i = 0; i < changesPerPlan; ++i) {
        const auto change
            = m_planner.next({spec, books, work, m_planned, missing, wanted, pacer.has(now), now});
        if (!change)
            return;
        // Room is made only for a load that may begin at once.
        EngineBook *book = findBook(change->server);
        const bool isAtHand = book->isAtHand(change->load);
        if (!isAtHand && !pacer.take(now))
            return;
        if (change->unload.isEmpty()) {
            send(*book, book->makeLoad(change->load, {}), step, now);
            continue;
        }
        m_planned[change->server] = change->load;
        if (isAtHand)
            m_unpaced.insert(change->server);
        else
            m_unpaced.erase(change->server);
        send(*book, book->makeUnload(change->unload, {}), step, now);
    }
}

// Share of one engine's time, or, where that is more, what the adapters in use take of its slots.
CopyPlanner::Demand EngineDirector::workOf(const EngineSpec &spec, Instant now) const
{
    std::map<ModelName, std::set<AdapterName>> adapters;
    for (const auto &[use, at] : m_uses)
        adapters[use.second.first].insert(use.second.second);
    CopyPlanner::Demand work;
    for (const auto &[model, entry] : spec.models) {
        work[model] = demandOf(model, now) / (m_settings.prefillTokensPerMs * 1000);
        const auto used = adapters.find(model);
        if (used == adapters.end() || spec.adapterSlots == 0)
            continue;
        const double engines = static_cast<double>(used->second.size()) / spec.adapterSlots;
        work[model] = std::max(work[model], engines * m_settings.copies.busyShare);
    }
    return work;
}

std::set<ModelName> EngineDirector::missingModels(const EngineSpec &spec,
                                                  const CopyPlanner::Books &books, Instant now)
{
    std::set<ModelName> held;
    std::set<ModelName> atHand;
    for (const auto &[id, book] : books) {
        if (book.listed().isLeaving)
            continue;
        atHand.insert(book.atHand().begin(), book.atHand().end());
        for (const auto &[model, adapters] : book.holdings()) {
            if (!book.isUnloading(model))
                held.insert(model);
        }
        if (const auto loading = book.loadingModel())
            held.insert(*loading);
    }
    std::set<ModelName> missing;
    for (const auto &entry : spec.models) {
        const ModelName &model = entry.first;
        if (held.count(model) > 0) {
            m_missingSince.erase(model);
            continue;
        }
        const Instant since = m_missingSince.try_emplace(model, now).first->second;
        const bool isWanted = std::any_of(m_needs.begin(), m_needs.end(), [&](const auto &need) {
            return need.first.first == model;
        });
        const Duration tolerance = atHand.count(model) > 0 ? m_settings.missingAtHandTolerance
                                                           : m_settings.missingTolerance;
        if (isWanted || now - since >= tolerance)
            missing.insert(model);
    }
    return missing;
}

void EngineDirector::send(EngineBook &book, const EngineCommand &command, Step &step, Instant now)
{
    book.noteSent(command, now);
    step.commands.push_back(command);
}

void EngineDirector::takeOutcome(const EngineCommand &command, OrderOutcome outcome, Instant now)
{
    EngineBook *book = findBook(command.server);
    if (!book)
        return;
    const Holdings before = book->holdings();
    book->takeOutcome(command, outcome, now);
    noticeChanges(*book, before);
    if (outcome == OrderOutcome::Impossible)
        m_impossible[{command.server, {command.model, command.adapter}}] = now;
    if (outcome == OrderOutcome::Accepted && command.kind == EngineCommand::Kind::Load)
        noteUse(command.server, command.model, command.adapter, now + firstUse);
}

void EngineDirector::takeStatus(const ServerName &server, const EngineStatus &status,
                                Instant askedAt, Instant now)
{
    EngineBook *book = findBook(server);
    if (!book)
        return;
    const Holdings before = book->holdings();
    book->takeStatus(status, askedAt, now);
    noticeChanges(*book, before);
}

void EngineDirector::noticeChanges(const EngineBook &book, const Holdings &before)
{
    for (const auto &[model, adapters] : before) {
        if (!book.holds(model, {})) {
            notice(book, model, {}, false);
            continue;
        }
        for (const AdapterName &adapter : adapters) {
            if (!book.holds(model, adapter))
                notice(book, model, adapter, false);
        }
    }
    for (const auto &[model, adapters] : book.holdings()) {
        const auto known = before.find(model);
        if (known == before.end())
            notice(book, model, {}, true);
        for (const AdapterName &adapter : adapters) {
            if (known == before.end() || known->second.count(adapter) == 0)
                notice(book, model, adapter, true);
        }
    }
}

void EngineDirector::notice(const EngineBook &book, const ModelName &model,
                            const AdapterName &adapter, bool isLoad)
{
    OrderNotice notice;
    notice.server = book.listed().id;
    notice.incarnation = book.listed().incarnation;
    notice.orders = book.orders();
    notice.model = model;
    notice.adapter = adapter;
    notice.isLoad = isLoad;
    m_notices.push_back(notice);
}

std::vector<OrderNotice> EngineDirector::takeNotices()
{
    return std::exchange(m_notices, {});
}

EngineBook *EngineDirector::findBook(const ServerName &server)
{
    const auto service = m_services.find(server);
    if (service == m_services.end())
        return nullptr;
    auto &books = booksOf(service->second);
    const auto it = books.find(server);
    return it == books.end() ? nullptr : &it->second;
}

} // namespace quetzalyoke
