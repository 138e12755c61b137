#include "Core/Placement/EngineKeeper.h"

#include <algorithm>

namespace quetzalyoke {

namespace {

// Orders of one epoch that have numbers of their own; the epoch is in the bits above.
constexpr std::int64_t numbersPerEpoch = std::int64_t(1) << 24;

// Unloading this takes nothing from an engine; it only raises its fencing number.
constexpr const char *fenceName = "quetzalyoke-fence";

} // namespace

EngineKeeper::EngineKeeper(const Limits &limits)
    : m_limits(limits), m_ledger(limits.memory, limits.orderLifetime)
{ }

void EngineKeeper::setPlan(std::vector<Holding> wanted)
{
    m_wanted = std::move(wanted);
    m_planKnown = true;
}

void EngineKeeper::grant(const FencingGrant &grant, Instant now)
{
    if (grant.epoch == 0 || (m_grant && grant.epoch != m_grant->epoch))
        return;
    if (!m_grant)
        m_grantedAt = now;
    const Instant validUntil
        = m_grant ? std::max(grant.validUntil, m_grant->validUntil) : grant.validUntil;
    m_grant = grant;
    m_grant->validUntil = validUntil;
    m_ledger.setFencingChecked(grant.checked);
}

void EngineKeeper::takeReport(const EngineReport &report, Instant readFrom, Instant readTo)
{
    const Instant asOf = readFrom - m_limits.reportLag;
    if (m_reportAsOf && asOf < *m_reportAsOf)
        return;
    m_report = report;
    m_reportAsOf = asOf;
    const bool isOfOneMoment = m_limits.reportLag == Duration();
    const Instant fencingAsOf = isOfOneMoment ? asOf : readTo;
    m_ledger.takeReport(report, asOf, fencingAsOf);
    if (!m_grant || report.fencing < firstNumber())
        m_fencedAt.reset();
    else if (!m_fencedAt)
        m_fencedAt = fencingAsOf;
}

void EngineKeeper::orderEnded(bool answered, Instant now)
{
    if (answered && m_orderOut) {
        m_ledger.noteAnswered(*m_orderOut, now);
        std::erase_if(m_loaded,
                      [this](const Holding &it) { return it.name == m_orderOut->holding.name; });
        if (m_orderOut->kind == EngineOrder::Kind::Load)
            m_loaded.push_back(m_orderOut->holding);
    }
    m_orderOut.reset();
    m_orderEndedAt = now;
}

bool EngineKeeper::mayOrder(Instant now) const
{
    if (!m_grant || m_superseded)
        return false;
    return m_grant->checked || now <= m_grant->validUntil;
}

std::optional<EngineOrder> EngineKeeper::nextOrder(Instant now, const InFlight &inFlight)
{
    if (m_orderOut || !mayOrder(now) || !m_reportAsOf)
        return std::nullopt;
    // Decide on nothing older than the last order's end.
    if (*m_reportAsOf < m_orderEndedAt)
        return std::nullopt;
    if (!hasOutlivedPredecessor())
        return fenceOrder(now);
    if (!m_planKnown)
        return std::nullopt;
    if (m_grant->checked && awaitsLateOrder())
        return fenceOrder(now);
    if (auto order = unloadOrder(now, inFlight))
        return order;
    return loadOrder(now);
}

// An engine that checks numbers has taken one of this epoch; any other has had the time to take
// whatever a predecessor sent, and was read after that.
bool EngineKeeper::hasOutlivedPredecessor() const
{
    if (m_grant->checked)
        return m_fencedAt && *m_reportAsOf >= *m_fencedAt;
    const bool isFirst = m_grant->epoch == 1;
    return isFirst || *m_reportAsOf >= m_grantedAt + m_limits.predecessorWait;
}

// Something wanted again may yet be taken away by an order that came before.
bool EngineKeeper::awaitsLateOrder() const
{
    return std::any_of(m_wanted.begin(), m_wanted.end(), [this](const Holding &it) {
        return m_ledger.mayGo(it) || (!findHeld(it.name) && m_ledger.mayDiffer(it));
    });
}

std::optional<EngineOrder> EngineKeeper::fenceOrder(Instant now)
{
    if (!m_grant->checked)
        return std::nullopt;
    return give(EngineOrder::Kind::Unload, {fenceName, "", Megabytes(), false, false}, now);
}

std::optional<EngineOrder> EngineKeeper::unloadOrder(Instant now, const InFlight &inFlight)
{
    for (const Holding &it : m_report.holdings) {
        if (isWanted(it) || inFlight(it.name) > 0)
            continue;
        return give(EngineOrder::Kind::Unload, it, now);
    }
    return std::nullopt;
}

std::optional<EngineOrder> EngineKeeper::loadOrder(Instant now)
{
    for (const Holding &it : m_wanted) {
        // Another version under the same name goes first: engines keep one of each name.
        if (findHeld(it.name) || m_ledger.mayGo(it) || m_ledger.mayDiffer(it)
            || !m_ledger.fits(it)) {
            continue;
        }
        return give(EngineOrder::Kind::Load, it, now);
    }
    return std::nullopt;
}

EngineOrder EngineKeeper::give(EngineOrder::Kind kind, const Holding &holding, Instant now)
{
    const EngineOrder order{kind, holding, firstNumber() + FencingNumber(m_orders++)};
    m_ledger.noteSent(order, now);
    m_orderOut = order;
    return order;
}

FencingNumber EngineKeeper::firstNumber() const
{
    return FencingNumber(m_grant->epoch * numbersPerEpoch);
}

std::set<std::string> EngineKeeper::offered() const
{
    std::set<std::string> names;
    if (m_superseded)
        return names;
    for (const Holding &it : m_report.holdings) {
        if (it.ready && isWanted(it) && !m_ledger.mayGo(it))
            names.insert(it.name);
    }
    return names;
}

bool EngineKeeper::isWanted(const Holding &holding) const
{
    if (&holding == findMisfit())
        return false;
    return std::any_of(m_wanted.begin(), m_wanted.end(),
                       [&holding](const Holding &it) { return it.isSame(holding); });
}

// The holding to load anew where the list has made a version smaller and the engine, which still
// holds it at its old size, has no room for the rest of the plan. A size that the engine reports
// after a load with the listed one is its own and stays.
const Holding *EngineKeeper::findMisfit() const
{
    const Holding *misfit = nullptr;
    Megabytes excess;
    Megabytes needed;
    for (const Holding &it : m_wanted) {
        const Holding *held = findHeld(it.name);
        if (!held || !held->isSame(it) || held->memory <= it.memory) {
            needed += it.memory;
            continue;
        }
        needed += held->memory;
        const Megabytes more = held->memory - it.memory;
        if (more <= excess || wasLoadedAs(it))
            continue;
        excess = more;
        misfit = held;
    }
    return needed > m_ledger.total() ? misfit : nullptr;
}

bool EngineKeeper::wasLoadedAs(const Holding &wanted) const
{
    return std::any_of(m_loaded.begin(), m_loaded.end(), [&wanted](const Holding &it) {
        return it.isSame(wanted) && it.memory == wanted.memory;
    });
}

const Holding *EngineKeeper::findHeld(const std::string &name) const
{
    const auto it = std::find_if(m_report.holdings.begin(), m_report.holdings.end(),
                                 [&name](const Holding &held) { return held.name == name; });
    return it == m_report.holdings.end() ? nullptr : &*it;
}

} // namespace quetzalyoke
